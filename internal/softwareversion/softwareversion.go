// Package softwareversion keeps, in the store, which software versions the engines of a service may
// have run recently. From it a daemon can tell that all streams of a service must have begun at one
// version, although it knows nothing else about them.
//
// A row for each service lists its versions. A version is added when a daemon first sees an engine of
// it, and until then the daemon prefers engines of recorded versions for streams that may be continued
// elsewhere. A version is removed once no engine of it has been declared for Retention. The row says
// from when on no version is missing; in a system whose daemons have always recorded versions, none is.
//
// Guarantee: if Only returns a version, no stream of the given age or younger began at another one,
// provided that the versions at which streams began were recorded while an engine of them was declared.
// Only rests on a condition that the store checked, and on a feed of engines that the store answered,
// both after it was called. So it holds for daemons that have just started, and whatever the age of
// their lists.
package softwareversion

import (
	"errors"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/state"
)

// Table is the store table with one row per service, keyed by the service's name.
const Table = "software-versions"

const (
	// Retention is how long a version stays recorded after the last engine that declared it.
	Retention = 15 * time.Minute
	// maxStreamAge is the maximum age of streams for which Only answers. The rest of Retention allows
	// for daemons that still use an engine whose declaration is gone.
	maxStreamAge = Retention / 2
	// maxClockDifference is the assumed maximum difference between the clocks of two machines.
	maxClockDifference = 2 * time.Second
)

// Errors of Only.
var (
	// ErrSeveral means that engines of several versions may have begun the stream.
	ErrSeveral = errors.New("engines of several software versions may have served")
	// ErrUncertain means that it is not known which versions may have begun the stream.
	ErrUncertain = errors.New("it is not certain which software versions have served")
)

// Engine is a declared engine.
type Engine struct{ Service, Version string }

// rowContent is the value of a row.
type rowContent struct {
	Versions []string `cbor:"v"`
	Since    int64    `cbor:"s"` // Unix time in milliseconds from which on no version is missing
	// IsComplete means that no version is missing whatever the time: the row was created in a system
	// in which every daemon records versions.
	IsComplete bool `cbor:"c,omitempty"`
}

// knownRow is a row as this daemon last saw it. The zero value means that there is none.
type knownRow struct {
	rowContent
	version state.Version
}

func keyOf(service string) state.Key { return state.Key{Table: Table, Name: service} }

func decodeRow(row state.Row) (knownRow, error) {
	var content rowContent
	if err := cbor.Unmarshal(row.Value, &content); err != nil {
		return knownRow{}, eris.Wrapf(err, "decode the software versions of %s", row.Key.Name)
	}
	return knownRow{rowContent: content, version: row.Version}, nil
}

// commitOf returns the commit that replaces the known row of the service by next.
func (k knownRow) commitOf(service string, next rowContent) (state.Commit, error) {
	value, err := cbor.Marshal(next)
	if err != nil {
		return state.Commit{}, eris.Wrapf(err, "encode the software versions of %s", service)
	}
	key := keyOf(service)
	return state.Commit{
		Class:      state.ClassLease,
		Conditions: []state.Condition{{Key: key, Version: k.version}},
		Puts:       []state.Put{{Key: key, Value: value}},
	}, nil
}

// missing returns the versions that the row lacks.
func (k knownRow) missing(versions []string) []string {
	return slices.DeleteFunc(slices.Clone(versions), func(version string) bool { return slices.Contains(k.Versions, version) })
}

// showsSeveral reports whether the row and the declared versions together have more than one version.
// It returns false if there is no row.
func (k knownRow) showsSeveral(declared []string) bool {
	return k.version != 0 && len(k.Versions)+len(k.missing(declared)) > 1
}

// only returns the one version at which a stream of the given age or younger can have begun, if the
// row and the declared engines of the service show that there is just one.
func (k knownRow) only(declared []string, age time.Duration, now time.Time) (string, error) {
	if k.version == 0 || len(k.Versions) == 0 {
		return "", ErrUncertain
	}
	if k.showsSeveral(declared) {
		return "", ErrSeveral
	}
	if !k.IsComplete && now.Sub(time.UnixMilli(k.Since)) < age+maxClockDifference {
		return "", ErrUncertain
	}
	return k.Versions[0], nil
}
