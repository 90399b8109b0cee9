// Package adoption decides which of the containers that clients claim to be running are adopted, that is, counted as
// running. A scheduler that has just started learns only from claims which containers are running. However, any client
// can send a claim, and the scheduler cannot ask a machine whether a claim is true.
//
// # Limits
//
// A machine accepts requests up to its honored capacity, so the containers that really run there do not exceed it. If a
// claim does not fit into the capacity, then this claim or a claim adopted earlier is false. In addition, a machine
// runs at most containerCountFactor times as many containers as would fit if all were of mean size; this bounds claims
// of very small containers. In total, claims may use a fixed fraction of the memory that the platform grants. The first
// claim at each machine of the machine list does not count towards this limit.
//
// At a limit, a new claim displaces the newest claim of the client connection with the most claims, provided that the
// connection of the new claim has at least two claims fewer. Otherwise the new claim is rejected. Therefore a
// connection that floods the scheduler cannot displace the claims of connections with fewer claims. All ended
// connections together count as one connection.
//
// A claim that its machine has confirmed by a report on the container counts like an accept and is not displaced.
//
// # Rejected claims
//
// The scheduler does not count a rejected or displaced claim, but it still notifies clients if a machine reports the
// end of the container. It therefore keeps these claims in a filter of fixed size, which has no false negatives and few
// false positives.
package adoption
