package schema_test

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"

	"moorstack/internal/frozen/golden"
	"moorstack/internal/schema"
)

// Services, methods and fields with their numbers, types and JSON names are unchanged: instances of different
// versions run in one group, and stored state contains these messages.
func TestSchemasAreFrozen(t *testing.T) {
	var b strings.Builder
	for _, f := range []protoreflect.FileDescriptor{
		schema.File_internal_schema_control_proto, schema.File_internal_schema_peers_proto,
	} {
		fmt.Fprintf(&b, "file %s package %s syntax %v\n", f.Path(), f.Package(), f.Syntax())
		for i := range f.Services().Len() {
			writeService(&b, f.Services().Get(i))
		}
		writeEnums(&b, f.Enums())
		writeMessages(&b, f.Messages())
	}
	golden.Compare(t, "schemas.txt", b.String())
}

func writeService(b *strings.Builder, s protoreflect.ServiceDescriptor) {
	fmt.Fprintf(b, "service %s\n", s.FullName())
	for i := range s.Methods().Len() {
		m := s.Methods().Get(i)
		fmt.Fprintf(b, "  method %s(%s stream=%t) returns (%s stream=%t)\n", m.Name(), m.Input().FullName(),
			m.IsStreamingClient(), m.Output().FullName(), m.IsStreamingServer())
	}
}

func writeEnums(b *strings.Builder, all protoreflect.EnumDescriptors) {
	for i := range all.Len() {
		e := all.Get(i)
		fmt.Fprintf(b, "enum %s\n", e.FullName())
		for j := range e.Values().Len() {
			v := e.Values().Get(j)
			fmt.Fprintf(b, "  %d %s\n", v.Number(), v.Name())
		}
	}
}

func writeMessages(b *strings.Builder, all protoreflect.MessageDescriptors) {
	for i := range all.Len() {
		m := all.Get(i)
		fmt.Fprintf(b, "message %s map_entry=%t\n", m.FullName(), m.IsMapEntry())
		for j := range m.Fields().Len() {
			writeField(b, m.Fields().Get(j))
		}
		for j := range m.ReservedRanges().Len() {
			r := m.ReservedRanges().Get(j)
			fmt.Fprintf(b, "  reserved %d to %d\n", r[0], r[1]-1)
		}
		for j := range m.ReservedNames().Len() {
			fmt.Fprintf(b, "  reserved name %s\n", m.ReservedNames().Get(j))
		}
		writeEnums(b, m.Enums())
		writeMessages(b, m.Messages())
	}
}

func writeField(b *strings.Builder, f protoreflect.FieldDescriptor) {
	kind := f.Kind().String()
	switch {
	case f.Message() != nil:
		kind += " " + string(f.Message().FullName())
	case f.Enum() != nil:
		kind += " " + string(f.Enum().FullName())
	}
	fmt.Fprintf(b, "  %d %s %v %s json=%s presence=%t packed=%t", f.Number(), f.Name(), f.Cardinality(), kind,
		f.JSONName(), f.HasPresence(), f.IsPacked())
	if o := f.ContainingOneof(); o != nil {
		fmt.Fprintf(b, " oneof=%s", o.Name())
	}
	if f.HasDefault() {
		fmt.Fprintf(b, " default=%v", f.Default())
	}
	b.WriteByte('\n')
}
