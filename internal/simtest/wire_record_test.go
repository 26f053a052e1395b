package simtest

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// recordDirectory is the directory to which TestRecordWire writes a record of the messages
// that the controllers receive and send. A change without an effect on behaviour leaves every
// hash unchanged.
var (
	recordDirectory = flag.String("record", "", "directory for the wire records: a SHA-256 hash of all messages for each scenario and each random run")
	recordMessages  = flag.Bool("record.messages", false, "also write the messages themselves")
)

// recordedRandomRuns is the number of random runs that are recorded, with seeds from 1 on.
const recordedRandomRuns = 60

// wireRecorder hashes messages and also writes them to file if file is not nil.
type wireRecorder struct {
	hash  hash.Hash
	file  *os.File
	text  *bufio.Writer
	count int
}

// newRecorder starts a record. The record is complete after close.
func newRecorder(t *testing.T, name string) *wireRecorder {
	t.Helper()
	recorder := &wireRecorder{hash: sha256.New()}
	var output io.Writer = recorder.hash
	if *recordMessages {
		file, err := os.Create(filepath.Join(*recordDirectory, name+".messages"))
		if err != nil {
			t.Fatal(err)
		}
		recorder.file = file
		output = io.MultiWriter(recorder.hash, file)
	}
	recorder.text = bufio.NewWriter(output)
	return recorder
}

// observe adds a message to the record as one line.
func (recorder *wireRecorder) observe(message Message) {
	recorder.count++
	// The error is ignored here: Flush returns the first error of the writer.
	_, _ = fmt.Fprintf(recorder.text, "%d %s>%s %s %s %d %d %q\n", message.Time, message.From, message.To,
		message.Method, message.Path, message.Status, message.RetryAfter, message.Body)
}

// close writes the hash and the number of messages to NAME.sha256.
func (recorder *wireRecorder) close(t *testing.T, name string) {
	t.Helper()
	if err := recorder.text.Flush(); err != nil {
		t.Fatal(err)
	}
	if recorder.file != nil {
		if err := recorder.file.Close(); err != nil {
			t.Fatal(err)
		}
	}
	sum := fmt.Sprintf("%s %d messages\n", hex.EncodeToString(recorder.hash.Sum(nil)), recorder.count)
	if err := os.WriteFile(filepath.Join(*recordDirectory, name+".sha256"), []byte(sum), 0o644); err != nil {
		t.Fatal(err)
	}
}

// TestRecordWire records the messages of every scenario and of the first random runs.
func TestRecordWire(t *testing.T) {
	t.Parallel()
	if *recordDirectory == "" {
		t.Skip("runs only with -record")
	}
	if err := os.MkdirAll(*recordDirectory, 0o755); err != nil {
		t.Fatal(err)
	}
	for _, file := range scenarioFiles(t) {
		name := strings.TrimSuffix(filepath.Base(file), ".txt")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			recordScenario(t, file, name)
		})
	}
	for seed := uint64(1); seed <= recordedRandomRuns; seed++ {
		name := fmt.Sprintf("play_%d", seed)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			recorder := newRecorder(t, name)
			runRandomJobsWith(t, seed, randomJobsOptions{observer: recorder.observe})
			recorder.close(t, name)
		})
	}
}

// recordScenario records the messages of a scenario.
func recordScenario(t *testing.T, file, name string) {
	t.Helper()
	recorder := newRecorder(t, name)
	runner := &scenarioRunner{observer: recorder.observe}
	datadriven.RunTest(t, file, func(t *testing.T, directive *datadriven.TestData) string {
		t.Helper()
		output, err := runner.run(directive)
		if err != nil {
			t.Fatal(err)
		}
		return output
	})
	recorder.close(t, name)
}
