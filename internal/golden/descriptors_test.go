package golden

import (
	"fmt"
	"saffronquay/internal/scheduler/rpc"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	_ "saffronquay/internal/broker/merge/partial"
	_ "saffronquay/internal/cluster/quota/wire"
	_ "saffronquay/internal/cluster/rollout/wire"
	_ "saffronquay/internal/cluster/swim/wire"
	_ "saffronquay/internal/storage/recordlog/form"
)

// Processes of other builds exchange these messages, fields, numbers, types and calls, and have
// them in their stored data.
func TestDescriptors(t *testing.T) {
	var lines []string
	protoregistry.GlobalFiles.RangeFiles(func(file protoreflect.FileDescriptor) bool {
		if strings.HasPrefix(string(file.Package()), "saffronquay.") {
			lines = append(lines, "package "+string(file.Package())+" "+file.Syntax().String())
			lines = append(lines, enumLines(file.Enums())...)
			lines = append(lines, messageLines(file.Messages())...)
			lines = append(lines, callLines(file.Services())...)
		}
		return true
	})
	for _, server := range []interface{ PathPrefix() string }{rpc.NewReplicationServer(nil), rpc.NewControlServer(nil), rpc.NewLedgerServer(nil)} {
		lines = append(lines, "served below "+server.PathPrefix())
	}
	slices.Sort(lines)
	compare(t, "descriptors.txt", strings.Join(lines, "\n")+"\n")
}

func enumLines(enums protoreflect.EnumDescriptors) (lines []string) {
	for i := range enums.Len() {
		values := enums.Get(i).Values()
		for k := range values.Len() {
			lines = append(lines, fmt.Sprintf("enum %s %s = %d", enums.Get(i).FullName(), values.Get(k).Name(), values.Get(k).Number()))
		}
	}
	return lines
}

func messageLines(messages protoreflect.MessageDescriptors) (lines []string) {
	for i := range messages.Len() {
		m := messages.Get(i)
		lines = append(lines, "message "+string(m.FullName()))
		for k := range m.Fields().Len() {
			lines = append(lines, fieldLine(m.Fields().Get(k)))
		}
		for k := range m.ReservedRanges().Len() {
			numbers := m.ReservedRanges().Get(k)
			lines = append(lines, fmt.Sprintf("message %s reserves %d to %d", m.FullName(), numbers[0], numbers[1]-1))
		}
		lines = append(lines, enumLines(m.Enums())...)
		lines = append(lines, messageLines(m.Messages())...)
	}
	return lines
}

func fieldLine(f protoreflect.FieldDescriptor) string {
	kind := f.Kind().String()
	switch {
	case f.Message() != nil:
		kind = string(f.Message().FullName())
	case f.Enum() != nil:
		kind = string(f.Enum().FullName())
	}
	group := ""
	if f.ContainingOneof() != nil {
		group = " of oneof " + string(f.ContainingOneof().Name())
	}
	packing := ""
	if f.IsPacked() {
		packing = " packed"
	}
	return fmt.Sprintf("field %s = %d: %s%s %s, JSON %s%s", f.FullName(), f.Number(), f.Cardinality(), packing, kind, f.JSONName(), group)
}

func callLines(services protoreflect.ServiceDescriptors) (lines []string) {
	for i := range services.Len() {
		s := services.Get(i)
		for k := range s.Methods().Len() {
			m := s.Methods().Get(k)
			lines = append(lines, fmt.Sprintf("call /twirp/%s/%s takes %s returns %s", s.FullName(), m.Name(), m.Input().FullName(), m.Output().FullName()))
		}
	}
	return lines
}
