// Package simnet is a simulated network for one process that runs on package eventloop: Kernel takes the place of the
// operating system, with a clock that moves only while the process waits, and PeerConn is the other end of each of its
// connections. Only tests and the testbed use it.
//
// Everything runs on the goroutine of the process's event loop: peers and callbacks scheduled with Network.After run
// within Kernel.Wait. Delays, splits, the sizes of buffers and the order of events are random, drawn from the seed of
// the network: equal seeds and equal peers give equal runs.
//
// To a program the network behaves as TCP on Linux does:
//
//   - Bytes arrive with a delay, in order, and split anywhere. A write takes as many bytes as fit in the buffer.
//   - The end of a stream arrives after the bytes that were sent before it, and so does a reset. Bytes that arrived
//     before a reset can still be read.
//   - A connection is established before the process accepts it. A connection that is never accepted is reset when its
//     listener is closed.
//   - If a socket is closed with unread input, or while its peer still sends, the peer receives a reset.
//   - A connection attempt succeeds, is refused, or is never answered, as the Endpoint specifies.
//   - When Kernel.Limit descriptors are open, opening another fails with EMFILE.
package simnet
