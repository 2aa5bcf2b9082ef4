package program_test

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/program"
)

func sampleCommands() map[string]program.Command {
	process := identity.Process{Machine: "machine-0012", Incarnation: 1780000000000000000, Address: "10.1.2.3:7400", Zone: "leith-a", Region: "scot-central"}
	base := program.Command{Program: programIdentifier(1), Now: start.Add(123456789)}
	accept, dispatch, answer := base, base, base
	accept.Kind, accept.Tenant = program.CommandAccept, "tenant-0001"
	accept.Call = program.CallSpec{
		Sequence: 7, Target: program.TargetModel, Name: "assess-models", MaxTokens: 1024,
		Messages: []program.Message{{Role: "user", Content: strings.Repeat("question ", 40)}},
	}
	dispatch.Kind, dispatch.Sequence = program.CommandDispatch, 7
	dispatch.Attempt = program.Attempt{Process: process, BackEnd: "engine-0100", Address: "http://10.4.5.6:8000", Reserved: 1024}
	answer.Kind, answer.Sequence, answer.Number = program.CommandAnswer, 7, 1
	answer.Answer = &program.Answer{
		Content: strings.Repeat("answer ", 60), FinishReason: "stop", PromptTokens: 9000, CachedTokens: 8800,
		CompletionTokens: 110, Engine: "engine-0100", FirstToken: 300 * time.Millisecond, Elapsed: 3 * time.Second,
	}
	return map[string]program.Command{"accept": accept, "dispatch": dispatch, "answer": answer}
}

// BenchmarkCommandEncodings compares the time and the encoded size of commands in
// CBOR, JSON and gob.
func BenchmarkCommandEncodings(b *testing.B) {
	encodings := map[string]func(program.Command) ([]byte, error){
		"cbor": program.EncodeCommand,
		"json": func(command program.Command) ([]byte, error) { return json.Marshal(command) },
		"gob": func(command program.Command) ([]byte, error) {
			var encoded bytes.Buffer
			err := gob.NewEncoder(&encoded).Encode(command)
			return encoded.Bytes(), err
		},
	}
	for kind, command := range sampleCommands() {
		for name, encode := range encodings {
			b.Run(kind+"/"+name, func(b *testing.B) {
				var size int
				for b.Loop() {
					encoded, err := encode(command)
					if err != nil {
						b.Fatal(err)
					}
					size = len(encoded)
				}
				b.ReportMetric(float64(size), "bytes/command")
			})
		}
	}
}

// BenchmarkApply measures the time to encode and apply the three commands of a
// call: accept, dispatch and answer.
func BenchmarkApply(b *testing.B) {
	shard := program.NewShard(1)
	turns := 0
	for b.Loop() {
		if turns%100 == 0 {
			createProgram(shard, turns/100)
		}
		applyTurn(shard, programIdentifier(turns/100), uint64(turns%100)+1, 100)
		turns++
	}
}

// BenchmarkProgramMemory measures how many bytes a program takes in the memory of
// a replica and in the snapshot of its shard.
func BenchmarkProgramMemory(b *testing.B) {
	for _, turns := range []int{0, 10, 300} {
		b.Run(fmt.Sprintf("%d turns", turns), func(b *testing.B) {
			var held, snapshot float64
			for b.Loop() {
				held, snapshot = measureProgram(b, turns)
			}
			b.ReportMetric(held, "bytes/program")
			b.ReportMetric(held-float64(turns*2*turnBytes), "bytes-beyond-content/program")
			b.ReportMetric(snapshot, "snapshot-bytes/program")
		})
	}
}

const turnBytes = 400 // size of each question and of each answer

func measureProgram(b *testing.B, turns int) (held, snapshot float64) {
	const programs = 200
	before := heapBytes()
	shard := program.NewShard(1)
	for number := range programs {
		createProgram(shard, number)
		for sequence := 1; sequence <= turns; sequence++ {
			applyTurn(shard, programIdentifier(number), uint64(sequence), turnBytes)
		}
	}
	held = float64(heapBytes()-before) / programs
	encoded, err := shard.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	return held, float64(len(encoded)) / programs
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC() // the second collection frees the contents of sync.Pools
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return statistics.HeapAlloc
}

func mustApply(shard *program.Shard, command program.Command) {
	encoded, err := program.EncodeCommand(command)
	if err != nil {
		panic(err)
	}
	if result, _ := shard.Apply(1, encoded).(*program.Result); result.Problem != nil {
		panic(result.Problem)
	}
}

func createProgram(shard *program.Shard, number int) {
	mustApply(shard, program.Command{
		Kind: program.CommandCreate, Program: programIdentifier(number), Tenant: "tenant-0001", Now: start,
		CreationKey: fmt.Sprintf("case-%d", number), Class: "interactive", Limits: program.Limits{MaxTurns: 1 << 20, TokenBudget: 1 << 30},
	})
}

// applyTurn applies the commands of one call whose question and answer have
// contentBytes bytes each.
func applyTurn(shard *program.Shard, identifier identity.Program, sequence uint64, contentBytes int) {
	samples := sampleCommands()
	accept, dispatch, answer := samples["accept"], samples["dispatch"], samples["answer"]
	content := fmt.Sprintf("%0*d", contentBytes, sequence)
	accept.Program, dispatch.Program, answer.Program = identifier, identifier, identifier
	accept.Call.Sequence, dispatch.Sequence, answer.Sequence = sequence, sequence, sequence
	accept.Call.Messages = []program.Message{{Role: "user", Content: content}}
	answer.Answer.Content = content
	mustApply(shard, accept)
	mustApply(shard, dispatch)
	mustApply(shard, answer)
}
