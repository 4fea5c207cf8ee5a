import type { FleetSnapshot } from './FleetSnapshot.js';

/** About 3 ms of encoding at 300 bytes an entry. */
const SLICE_ENTRIES = 1_000;

function* splitArray(values: unknown[]): Generator<string> {
  yield '[';
  for (let start = 0; start < values.length; start += SLICE_ENTRIES) {
    const text = JSON.stringify(values.slice(start, start + SLICE_ENTRIES)).slice(1, -1);
    yield start === 0 ? text : `,${text}`;
  }
  yield ']';
}

function* splitObject(values: Record<string, unknown>): Generator<string> {
  const entries = Object.entries(values);
  yield '{';
  for (let start = 0; start < entries.length; start += SLICE_ENTRIES) {
    const slice = Object.fromEntries(entries.slice(start, start + SLICE_ENTRIES));
    const text = JSON.stringify(slice).slice(1, -1);
    yield start === 0 ? text : `,${text}`;
  }
  yield '}';
}

/**
 * Encodes a snapshot as JSON text in slices, so that other work can run in between.
 *
 * Hosts and their states are encoded when their slice is taken, since the fold replaces them and
 * never changes them in place; everything else is encoded with the first slice.
 */
export function splitSnapshot(snapshot: FleetSnapshot): Generator<string> {
  const { hosts, hostStates, ...rest } = snapshot;
  const head = JSON.stringify(rest).slice(0, -1);
  return (function* split(): Generator<string> {
    yield head;
    yield ',"hosts":';
    yield* splitArray(hosts);
    yield ',"hostStates":';
    yield* splitObject(hostStates);
    yield '}';
  })();
}
