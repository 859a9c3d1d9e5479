package replica

import (
	"context"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/transport"
	"sync"
	"time"
)

const (
	// sendTimeout bounds one call to another replica's process.
	sendTimeout = 500 * time.Millisecond
	// queueBatches bounds the batches of messages that wait for an address.
	queueBatches = 256
	// maxMessagesPerCall is the number of messages from which on no further batch is added to a call.
	maxMessagesPerCall = 128
)

// Sender carries messages to other replicas. Each address has a queue and a goroutine of its own, so that an unresponsive process delays no
// other. Messages that find the queue full, or whose call fails, are lost: the consensus protocol repeats them.
//
// The goroutines run until the process ends, one for every address that was ever sent to. A process has one Sender.
type Sender struct {
	client *transport.Client
	mu     sync.Mutex // guards queues
	queues map[string]chan []*rpc.Message
}

// NewSender returns a sender that uses a client.
func NewSender(client *transport.Client) *Sender {
	return &Sender{client: client, queues: map[string]chan []*rpc.Message{}}
}

// Send queues messages for an address. It does not block. The slice and its messages must not be changed afterwards.
func (s *Sender) Send(address string, messages []*rpc.Message) {
	select {
	case s.queue(address) <- messages:
	default:
	}
}

// queue returns the queue of an address, and starts its goroutine at the first use.
func (s *Sender) queue(address string) chan<- []*rpc.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := s.queues[address]
	if queue == nil {
		queue = make(chan []*rpc.Message, queueBatches)
		s.queues[address] = queue
		go s.run(address, queue)
	}
	return queue
}

// run sends what is queued for an address, one call after the other.
func (s *Sender) run(address string, queue <-chan []*rpc.Message) {
	client := rpc.NewReplicationProtobufClient("http://"+address, s.client)
	for messages := range queue {
		step(client, addQueued(messages, queue))
	}
}

// addQueued adds to messages those that wait in a queue, until there are enough for a call.
func addQueued(messages []*rpc.Message, queue <-chan []*rpc.Message) []*rpc.Message {
	for len(messages) < maxMessagesPerCall {
		select {
		case more := <-queue:
			messages = append(messages, more...)
		default:
			return messages
		}
	}
	return messages
}

// step makes one call.
func step(client rpc.Replication, messages []*rpc.Message) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	_, _ = client.Step(ctx, &rpc.StepRequest{Messages: messages}) // the protocol repeats messages that are lost
}
