/**
 * How a runner handles requests: it serves them (`sound`, or `unframed` without a length and chunks)
 * or fails in a particular way. `cut` and `reset` break unframed streams off inside an event, with an
 * orderly close and with a reset. `early-reset` answers while the request is still being sent, without a
 * length, sends a part of the body and resets the connection; `invalid-status` answers with statuses that
 * HTTP does not define, `spoilt-head` with heads that it does not allow. `repeats-refusal` turns every
 * second request away and writes that response once more on the connection. The last three break streams off, and answer those that go on
 * from the start (`restart`), with an error (`fail-resumed`) or without content (`empty-resumed`).
 */
export type RunnerMode =
  | 'sound'
  | 'unframed'
  | 'errors'
  | 'mute'
  | 'break-off'
  | 'cut'
  | 'reset'
  | 'early-reset'
  | 'invalid-status'
  | 'spoilt-head'
  | 'repeats-refusal'
  | 'restart'
  | 'fail-resumed'
  | 'empty-resumed';
