package logging

// Name is the name of an event.
type Name string

// The events. Operators' searches and alerts use the names of events and fields, so they must never be
// renamed.
const (
	Accept           Name = "accept"
	DoorAccept       Name = "door_accept"
	Duty             Name = "duty"
	Exit             Name = "exit"
	Fleet            Name = "fleet"
	Handover         Name = "handover"
	Layout           Name = "layout"
	LayoutKept       Name = "layout_kept"
	LayoutStalled    Name = "layout_stalled"
	Leaving          Name = "leaving"
	Note             Name = "note"
	Panic            Name = "panic"
	Peer             Name = "peer"
	PeerDropped      Name = "peer_dropped"
	PeerNap          Name = "peer_nap"
	PeerTwin         Name = "peer_twin"
	Peers            Name = "peers"
	PeersAlone       Name = "peers_alone"
	PeersReckon      Name = "peers_reckon"
	Reload           Name = "reload"
	Rollout          Name = "rollout"
	RolloutApart     Name = "rollout_apart"
	RolloutFails     Name = "rollout_fails"
	RolloutHolds     Name = "rollout_holds"
	RolloutInForce   Name = "rollout_in_force"
	RolloutJoined    Name = "rollout_joined"
	RolloutRefused   Name = "rollout_refused"
	RolloutRoster    Name = "rollout_roster"
	Start            Name = "start"
	Stopped          Name = "stopped"
	Store            Name = "store"
	StoreClean       Name = "store_clean"
	StoreDamaged     Name = "store_damaged"
	StoreFails       Name = "store_fails"
	StoreLayout      Name = "store_layout"
	StoreMisses      Name = "store_misses"
	StoreOff         Name = "store_off"
	StoreTakenOver   Name = "store_taken_over"
	StoreUnknown     Name = "store_unknown"
	StoreWaits       Name = "store_waits"
	StoreWritesAgain Name = "store_writes_again"
	StoreYielded     Name = "store_yielded"
	Succeeds         Name = "succeeds"
	Vrrp             Name = "vrrp"
	VrrpDiscard      Name = "vrrp_discard"
	VrrpRead         Name = "vrrp_read"
	VrrpSend         Name = "vrrp_send"
	VrrpService      Name = "vrrp_service"
	WatchEnded       Name = "watch_ended"
	WatchMoved       Name = "watch_moved"
)

// Fields lists the fields that each event may have. None contains clients' data (queries, keys,
// documents).
var Fields = map[Name][]string{
	Accept:           {"error"},
	DoorAccept:       {"error"},
	Duty:             {"standby", "error"},
	Exit:             {"error"},
	Fleet:            {"generation", "whole", "entries"},
	Handover:         {"error"},
	Layout:           {"epoch", "ranges", "changed", "changes", "from"},
	LayoutKept:       {"epoch", "while", "reason", "error"},
	LayoutStalled:    {"change", "kind", "state", "for"},
	Leaving:          {"held"},
	Note:             {"text"},
	Panic:            {"where", "error", "stack"},
	Peer:             {"what", "name", "start", "address", "zone", "by"},
	PeerDropped:      {"what", "from", "error"},
	PeerNap:          {"for"},
	PeerTwin:         {"name", "start", "address"},
	Peers:            {"listen", "advertise", "start", "error"},
	PeersAlone:       {"join"},
	PeersReckon:      {"members", "divide"},
	Reload:           {"kept", "error", "note", "classes", "discovery", "servers", "layout"},
	Rollout:          {"listen", "number", "members", "founding"},
	RolloutApart:     {"region", "number", "for"},
	RolloutFails:     {"what", "error"},
	RolloutHolds:     {"on", "number"},
	RolloutInForce:   {"number"},
	RolloutJoined:    {"region", "number", "newest"},
	RolloutRefused:   {"error"},
	RolloutRoster:    {"members", "index"},
	Start:            {"name", "listen", "operator", "servers", "layout", "waited", "list"},
	Stopped:          {},
	Store:            {"bytes", "keys", "unknown", "took"},
	StoreClean:       {"error"},
	StoreDamaged:     {"file", "bytes"},
	StoreFails:       {"error"},
	StoreLayout:      {"kept", "error"},
	StoreMisses:      {"error"},
	StoreOff:         {"classes", "error"},
	StoreTakenOver:   {"waited"},
	StoreUnknown:     {"after", "before", "from", "to"},
	StoreWaits:       {"longest"},
	StoreWritesAgain: {},
	StoreYielded:     {"open"},
	Succeeds:         {"standby", "open", "sockets", "generation"},
	Vrrp:             {"state", "error"},
	VrrpDiscard:      {"from", "known", "error"},
	VrrpRead:         {"error"},
	VrrpSend:         {"error", "to"},
	VrrpService:      {"address", "error"},
	WatchEnded:       {"generation", "error"},
	WatchMoved:       {"from"},
}

// maxPerSecond is the maximum number of lines per second of events that can be very frequent.
var maxPerSecond = map[Name]int{
	VrrpDiscard: 5, VrrpRead: 5, VrrpSend: 5, Accept: 5, DoorAccept: 5, Note: 20, Panic: 5, StoreFails: 5,
	Peer: 100, PeerDropped: 5, PeerNap: 2, RolloutApart: 2, RolloutJoined: 2,
}
