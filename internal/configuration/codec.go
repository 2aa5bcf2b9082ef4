package configuration

import (
	"bytes"
	"encoding/gob"

	"github.com/rotisserie/eris"
)

// EncodeChange encodes the change as a command for Machine.Apply.
func EncodeChange(change Change) ([]byte, error) {
	return encode(&change, "encode change")
}

// decodeChange decodes a command that EncodeChange encoded.
func decodeChange(command []byte) (Change, error) {
	var change Change
	err := decode(command, &change, "decode change")
	return change, err
}

func encode(value any, step string) ([]byte, error) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		return nil, eris.Wrap(err, step)
	}
	return buffer.Bytes(), nil
}

func decode(data []byte, value any, step string) error {
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(value); err != nil {
		return eris.Wrap(err, step)
	}
	return nil
}
