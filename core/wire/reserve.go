package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

var errMalformed = errors.New("not a protobuf message")

// Wire types of protobuf fields.
const (
	typeVarint  = 0
	typeFixed64 = 1
	typeBytes   = 2
	typeFixed32 = 5
)

// reserve gives all lists of a message room for the entries that raw holds. The library's decoder starts with room
// for ten entries and crashes the process when it has to grow a list, because it calls typedslicecopy of the Go
// runtime with another signature than that of Go 1.26.
func reserve(raw []byte, message reflect.Value) error {
	found := map[int][][]byte{} // payloads by field number
	for len(raw) > 0 {
		number, payload, rest, err := nextField(raw)
		if err != nil {
			return err
		}
		found[number] = append(found[number], payload)
		raw = rest
	}
	t := message.Type()
	for i := range t.NumField() {
		payloads := found[fieldNumber(t.Field(i))]
		if len(payloads) == 0 {
			continue
		}
		if err := reserveField(payloads, message.Field(i)); err != nil {
			return fmt.Errorf("%s: %w", t.Field(i).Name, err)
		}
	}
	return nil
}

func reserveField(payloads [][]byte, field reflect.Value) error {
	switch {
	case field.Kind() == reflect.Struct:
		// A message that comes in pieces is the same as their concatenation.
		var whole []byte
		for _, p := range payloads {
			whole = append(whole, p...)
		}
		return reserve(whole, field)
	case field.Kind() != reflect.Slice || field.Type().Elem().Kind() == reflect.Uint8:
		return nil
	}
	list := reflect.MakeSlice(field.Type(), len(payloads), len(payloads))
	if field.Type().Elem().Kind() == reflect.Struct {
		for i, p := range payloads {
			if err := reserve(p, list.Index(i)); err != nil {
				return err
			}
		}
	}
	field.Set(list.Slice(0, 0))
	return nil
}

// fieldNumber returns the field number of a tag such as "bytes,1,opt,name=text", or 0.
func fieldNumber(f reflect.StructField) int {
	parts := strings.Split(f.Tag.Get("protobuf"), ",")
	if len(parts) < 2 {
		return 0
	}
	n, err := strconv.Atoi(parts[1])
	if err != nil {
		return 0
	}
	return n
}

// nextField cuts the first field off a message; the payload is empty unless the field has a length.
func nextField(raw []byte) (number int, payload, rest []byte, err error) {
	tag, n := binary.Uvarint(raw)
	if n <= 0 || tag>>3 == 0 || tag>>3 > 1<<29 {
		return 0, nil, nil, errMalformed
	}
	raw = raw[n:]
	size := uint64(0)
	switch tag & 7 {
	case typeVarint:
		if _, n = binary.Uvarint(raw); n <= 0 {
			return 0, nil, nil, errMalformed
		}
		size = uint64(n)
	case typeFixed64:
		size = 8
	case typeFixed32:
		size = 4
	case typeBytes:
		if size, n = binary.Uvarint(raw); n <= 0 || size > uint64(len(raw)-n) {
			return 0, nil, nil, errMalformed
		}
		raw = raw[n:]
		payload = raw[:size]
	default:
		return 0, nil, nil, errMalformed
	}
	if size > uint64(len(raw)) {
		return 0, nil, nil, errMalformed
	}
	return int(tag >> 3), payload, raw[size:], nil
}
