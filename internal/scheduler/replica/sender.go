package replica

import (
	"context"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/transport"
	"sync"
	"time"
)

const (
	sendTimeout        = 500 * time.Millisecond
	queueBatches       = 256
	maxMessagesPerCall = 128
)

// Sender carries messages to other replicas. Each address has a queue of its own, so that one that is silent holds up nobody else;
// what does not fit is dropped, and the protocol sends it again.
type Sender struct {
	client *transport.Client
	mu     sync.Mutex
	queues map[string]chan []*rpc.Message
}

// NewSender returns a sender over a client.
func NewSender(client *transport.Client) *Sender {
	return &Sender{client: client, queues: map[string]chan []*rpc.Message{}}
}

// Send queues messages for an address; it doesn't block.
func (s *Sender) Send(address string, messages []*rpc.Message) {
	s.mu.Lock()
	queue := s.queues[address]
	if queue == nil {
		queue = make(chan []*rpc.Message, queueBatches)
		s.queues[address] = queue
		go s.run(address, queue)
	}
	s.mu.Unlock()
	select {
	case queue <- messages:
	default:
	}
}

func (s *Sender) run(address string, queue chan []*rpc.Message) {
	client := rpc.NewReplicationProtobufClient("http://"+address, s.client)
	for messages := range queue {
		batch := messages
	more:
		for len(batch) < maxMessagesPerCall {
			select {
			case messages := <-queue:
				batch = append(batch, messages...)
			default:
				break more
			}
		}
		s.call(client, batch, sendTimeout)
	}
}

func (s *Sender) call(client rpc.Replication, messages []*rpc.Message, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	client.Step(ctx, &rpc.StepRequest{Messages: messages}) // a lost message is sent again by the protocol
}
