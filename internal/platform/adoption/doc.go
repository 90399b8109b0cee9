// Package adoption decides which of the containers that clients claim to be running are adopted. A scheduler that has
// just started learns from claims alone what runs; but anybody can send them, and machines do not answer for one.
//
// # Limits
//
// A machine accepts requests up to its honored capacity, so that the true claims at it do not exceed that. A claim for
// which it leaves no room is false, or one of those adopted before it is. Nor does a machine run more than
// containersPerMean times as many containers as it could of mean size, which bounds claims that ask for next to
// nothing. In sum, claims may use a part of the memory that the platform grants, beyond
// one for each machine of the list.
//
// At a limit the client connection with the most claims yields: its newest one is displaced by the claim of a
// connection that has at least two fewer, and of others the claim that comes is left out. So a connection that floods
// the scheduler takes room from itself only. Claims whose connections have ended count together, as those of one.
//
// A claim that a machine has confirmed, by a report on its container, counts as an accept does and is not displaced.
//
// # Claims that are not adopted
//
// They are not counted by the scheduler, but the end that a machine reports of such a container is notified all the
// same. For this they are kept in a filter of fixed size, which never misses one and mistakes a few others for one.
package adoption
