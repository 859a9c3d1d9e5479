package replica

import (
	"context"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/transport"
	"sync"
	"time"
)

const (
	// sendTimeout is the timeout of one call to another replica's process.
	sendTimeout = 500 * time.Millisecond
	// maxQueuedBatches is the maximum number of message batches queued for an address.
	maxQueuedBatches = 256
	// maxMessagesPerCall is the number of messages from which no further batch is added to a call.
	maxMessagesPerCall = 128
)

// Sender sends messages to other replicas. Each address has its own queue and goroutine, so that an
// unresponsive process does not delay others. Messages are dropped if the queue is full or the call
// fails: the consensus protocol retransmits them.
//
// The goroutines run until the process exits, one for every address ever used. A process has one
// Sender.
type Sender struct {
	client *transport.Client
	mu     sync.Mutex // guards queues
	queues map[string]chan []*rpc.Message
}

// NewSender returns a sender that uses a client.
func NewSender(client *transport.Client) *Sender {
	return &Sender{client: client, queues: map[string]chan []*rpc.Message{}}
}

// Send queues messages for an address. It does not block. The slice and its messages must not be
// modified afterwards.
func (s *Sender) Send(address string, messages []*rpc.Message) {
	select {
	case s.queue(address) <- messages:
	default:
	}
}

// queue returns the queue of an address, and starts its goroutine on first use.
func (s *Sender) queue(address string) chan<- []*rpc.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := s.queues[address]
	if queue == nil {
		queue = make(chan []*rpc.Message, maxQueuedBatches)
		s.queues[address] = queue
		go s.run(address, queue)
	}
	return queue
}

// run sends the queued messages of an address, one call at a time.
func (s *Sender) run(address string, queue <-chan []*rpc.Message) {
	client := rpc.NewReplicationProtobufClient("http://"+address, s.client)
	for messages := range queue {
		step(client, addQueued(messages, queue))
	}
}

// addQueued appends queued messages until there are enough for a call.
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

// step sends messages in one call.
func step(client rpc.Replication, messages []*rpc.Message) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	_, _ = client.Step(ctx, &rpc.StepRequest{Messages: messages}) // the protocol retransmits lost messages
}
