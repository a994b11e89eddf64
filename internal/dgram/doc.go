// Package dgram is the data plane for UDP: it forwards datagrams between callers
// or the fabric, the hosts and the backend servers. Package flow makes the
// routing decisions; this package owns the sockets.
//
// Reader goroutines read batches of datagrams from the sockets and queue each
// datagram for the worker that its flow is assigned to. Each worker has its own
// flow table, sealer and local ports towards servers; on the data path, workers
// share only counters. The host's control loop publishes its decisions to the
// workers as an immutable Tables through an atomic pointer.
package dgram
