// Package simnet is a simulated network for one process that runs on package eventloop: Kernel takes the place of the
// operating system, with a clock that moves only while the process waits, and PeerConn is the other end of each of its
// connections. Only tests and the testbed use it.
//
// All runs on the goroutine of the process's event loop: peers and whatever else is scheduled with Network.After run
// within Kernel.Wait. Delays, splits, the sizes of buffers and the order of events are drawn from the seed of the
// network, so that equal seeds and equal peers give equal runs.
//
// The network behaves as TCP on Linux does, as far as a program can tell:
//
//   - Bytes arrive late, in order, and split anywhere. A write takes what the buffer has room for.
//   - An end arrives behind the bytes that were sent before it, and so does a reset. What has arrived before a reset
//     can still be read.
//   - A connection is established before the process accepts it. One that is never accepted is reset when its listener
//     is closed.
//   - A socket that is closed with unread input, or before its peer has stopped sending, has the peer reset.
//   - A connection attempt succeeds, is refused, or is never answered, as the Endpoint says.
//   - Beyond Kernel.Limit no descriptor is opened: EMFILE.
package simnet
