package program

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Commands and snapshots are encoded as CBOR (RFC 8949). Fields are identified
// by small integers instead of names, which keeps the encoding short.

const (
	maxArrayElements = 1 << 20 // programs in a shard, or calls in a program
	maxNestedLevels  = 16
)

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{
		Sort: cbor.SortNone,
		Time: cbor.TimeRFC3339NanoUTC,
	}.EncMode()
	if err != nil {
		panic(err) // cannot happen, since the options are constant
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxNestedLevels:  maxNestedLevels,
		UTF8:             cbor.UTF8DecodeInvalid, // content that is not valid UTF-8 is retained unchanged
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // cannot happen, since the options are constant
	}
	return mode
}

// EncodeCommand encodes a command as an entry for the log of its shard.
func EncodeCommand(command Command) ([]byte, error) {
	encoded, err := encoder.Marshal(command)
	return encoded, eris.Wrapf(err, "encode command %q", command.Kind)
}

// DecodeCommand decodes a log entry that EncodeCommand encoded.
func DecodeCommand(encoded []byte) (Command, error) {
	var command Command
	err := decoder.Unmarshal(encoded, &command)
	return command, eris.Wrap(err, "decode command")
}
