package simtest

import (
	"encoding/json"
	"strings"
)

// siteCommands set up and change the cloud and the state service.
var siteCommands = map[string]command{
	"machine": {"adds machines that are up already", []argument{machineTypeName("machine type, small if absent"),
		text("zone", "a if absent"), boolean("spot", "spot machines"), number("count", "1 if absent")}, act(addMachines)},
	"capacity": {"limits the machines of a type that can be provisioned, per zone and kind",
		[]argument{need(machineTypeName("machine type")), number("count", "0 if absent")}, act(limitCapacity)},
	"never": {"lets the next machines never boot", []argument{number("count", "1 if absent")},
		act(func(w *World, a Args) { w.cloud.never = int(a.num("count", "1")) })},
	"cloud": {"starts or ends an outage of the cloud", []argument{boolean("over", "the outage ends")},
		act(func(w *World, a Args) { w.cloud.down = !a.flag("over") })},
	"outage": {"starts or ends an outage of the state service", []argument{boolean("over", "the outage ends")},
		act(func(w *World, a Args) { w.state.outage(!a.flag("over")) })},
	"limits": {"changes the state service's limits without notice", []argument{number("rps", "requests per second"),
		number("writes", "writes per second"), number("value", "size of a value in KiB"), number("ops", "writes per transaction")},
		act(func(w *World, a Args) { w.state.lower(a) })},
	"pages": {"limits the items in a page of the state service", []argument{need(number("limit", "items"))},
		act(func(w *World, a Args) { w.pageLimit = int(a.num("limit", "1000")) })},
	"truncate_log": {"lets the state service drop all changes that it keeps", nil,
		act(func(w *World, _ Args) { w.state.oldest = w.state.revision })},
	"write": {"stores the input under a key, as another version would", []argument{need(text("key", "key"))}, writeKey},
	"lag": {"carries out the next transactions that write a key late and does not answer them", []argument{need(text("key", "prefix of the key")),
		duration("for", "delay, 8s if absent"), number("count", "transactions, 1 if absent")}, act(lagWrites)},
	"slow_state": {"lets the state service answer within a time drawn for each answer, or at once",
		[]argument{duration("within", "longest time, 0 ends it")}, act(func(w *World, a Args) { w.slowState = a.dur("within", "0s") })},
	"late_writes": {"lets transactions go unanswered and be carried out late", []argument{number("share", "of all transactions")},
		act(func(w *World, a Args) { w.lateWrites = a.num("share", "0") })},
	"load": {"goes on from a recording", []argument{need(text("file", "path"))}, func(w *World, a Args, _ string) (string, error) {
		return "ok", w.Load(a["file"])
	}},
	"run": {"plays on", []argument{duration("for", "1s if absent")}, act(func(w *World, a Args) { w.Run(a.dur("for", "1s")) })},
	"settle": {"notes that all faults are over: from now on jobs may not be left waiting", nil,
		act(func(w *World, _ Args) { w.check.faultsOverAt = w.now })},
}

func addMachines(w *World, a Args) {
	for range int(a.num("count", "1")) {
		w.cloud.add(a.or("type", "small"), a.or("zone", "a"), a.flag("spot"), 0)
	}
}

func limitCapacity(w *World, a Args) {
	for _, spot := range []bool{false, true} {
		for _, zone := range []string{"a", "b"} {
			w.cloud.available[capacityKey(a["type"], zone, spot)] = int(a.num("count", "0"))
		}
	}
}

func writeKey(w *World, a Args, input string) (string, error) {
	var value json.RawMessage
	if err := json.Unmarshal([]byte(input), &value); err != nil {
		return "", err
	}
	w.store(a["key"], strings.TrimSpace(input))
	w.state.wake()
	return "ok", nil
}

func lagWrites(w *World, a Args) {
	w.state.lagKey, w.state.lagFor, w.state.lagged = a["key"], a.dur("for", "8s"), int(a.num("count", "1"))
}

// store puts a record as it is.
func (w *World) store(key, data string) {
	w.state.revision++
	w.state.keys[key] = stateKey{data: json.RawMessage(data), version: w.state.revision}
	w.state.log = append(w.state.log, stateChange{Write: key, Data: json.RawMessage(data), Version: w.state.revision})
}
