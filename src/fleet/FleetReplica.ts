import { Actor, type ActorScope } from '../actor/mod.js';
import { SystemClock, type Clock } from '../clock/mod.js';
import type { RecordBatch, RecordId } from '../log/mod.js';
import type { LoggedRecord } from '../record/mod.js';
import { describeRecord } from '../timeline/mod.js';
import { Fleet } from './Fleet.js';
import type { FleetProjector } from './FleetProjector.js';
import type { AppliedChange } from './ProcessStatus.js';
import { FleetSnapshot } from './FleetSnapshot.js';
import { RecordCauses } from './_RecordCauses.js';
import { RecentRecords } from './_RecentRecords.js';
import type { RecordsResponse } from './RecordsResponse.js';
import { PendingPolls } from './_PendingPolls.js';
import type { Verdict } from './Verdict.js';

const MAX_KEPT_VERDICTS = 5_000;
/** Accepted changes whose rollout can be queried: about two hours at 61,000 changes a day. */
const MAX_KEPT_CHANGES = 5_000;

/** Response to the writer of a record: its verdict, its offset and the resulting revision. */
export interface VerdictResponse {
  verdict: Verdict;
  offset: number;
  revision: number;
}

/** Position of a process in the log. */
export interface FleetPosition {
  nextOffset: number;
  revision: number;
  /** Platform time of the last applied record. */
  time: number;
  /** Entries that were skipped because they are malformed or of an unknown type. */
  broken: number;
  /** When the change of the requested revision was appended, and when this process applied it. */
  change?: AppliedChange;
}

/** The records from an offset on and the state after applying them. */
export interface FleetTail {
  records: LoggedRecord[];
  nextOffset: number;
  /** Snapshot of the state as JSON text. */
  slices: Generator<string>;
}

/** The state at an offset as JSON text; the receiver consumes the slices at its own pace. */
export interface SerializedFleet {
  slices: Generator<string>;
  offset: number;
}

/** Messages of `FleetReplica`. */
export type FleetReplicaMessage =
  | { type: 'records'; batch: RecordBatch }
  /** Transfers ownership of the snapshot to the replica. */
  | { type: 'restore'; snapshot: FleetSnapshot }
  /** Readiness and last platform contact as seen by the follower; `contactAt` is monotonic. */
  | { type: 'contact'; isReady: boolean; contactAt: number }
  | { type: 'since'; offset: number; waitMs: number; reply: (answer: RecordsResponse) => void }
  | { type: 'tail'; offset: number; reply: (tail: FleetTail | undefined) => void }
  | { type: 'snapshot'; reply: (snapshot: FleetSnapshot) => void }
  | { type: 'text'; reply: (text: SerializedFleet) => void }
  | { type: 'position'; revision?: number; reply: (position: FleetPosition) => void }
  | { type: 'verdict'; id: RecordId; reply: (answer: VerdictResponse) => void }
  | { type: 'project'; projector: FleetProjector }
  | { type: 'subscribe'; projector: FleetProjector }
  | { type: 'expire'; pollId: number };

/** Options of a `FleetReplica`. */
export interface FleetReplicaOptions {
  clock?: Clock;
}

function pruneOldest<Key>(map: Map<Key, unknown>, maxEntries: number): void {
  const oldest = map.keys().next().value;
  if (map.size > maxEntries && oldest !== undefined) map.delete(oldest);
}

/**
 * Owns the fleet state of a process: applies records, answers the polls of followers, and notifies
 * projectors.
 */
export class FleetReplica extends Actor<FleetReplicaMessage> {
  readonly #clock: Clock;

  #fleet = new Fleet();

  readonly #recentRecords = new RecentRecords();

  readonly #causes = new RecordCauses();

  readonly #pendingPolls = new PendingPolls((pollId) => this.send({ type: 'expire', pollId }));

  readonly #verdicts = new Map<string, VerdictResponse>();

  readonly #verdictWaiters = new Map<string, (answer: VerdictResponse) => void>();

  readonly #appliedChanges = new Map<number, AppliedChange>();

  readonly #projectors: FleetProjector[] = [];

  #broken = 0;

  #isReady = false;

  #contactAt = Number.NEGATIVE_INFINITY;

  constructor(scope: ActorScope, options: FleetReplicaOptions = {}) {
    super(scope, 'fleet-keeper');
    this.#clock = options.clock ?? new SystemClock();
  }

  protected override receive(message: FleetReplicaMessage): void {
    switch (message.type) {
      case 'records':
        this.#applyBatch(message.batch);
        break;
      case 'restore':
        this.#restore(message.snapshot);
        break;
      case 'contact':
        this.#isReady = message.isReady;
        this.#contactAt = message.contactAt;
        break;
      case 'since':
        this.#answerPoll(message.offset, message.waitMs, message.reply);
        break;
      case 'tail':
        message.reply(this.#readTail(message.offset));
        break;
      case 'snapshot':
        message.reply(this.#fleet.snapshot());
        break;
      case 'text':
        message.reply({ slices: this.#fleet.snapshotSlices(), offset: this.#fleet.nextOffset });
        break;
      case 'position':
        message.reply(this.#describePosition(message.revision));
        break;
      case 'verdict':
        this.#answerVerdict(message.id, message.reply);
        break;
      case 'project':
        message.projector.project(this.#fleet);
        break;
      case 'subscribe':
        this.#projectors.push(message.projector);
        message.projector.project(this.#fleet);
        break;
      default:
        this.#answerPendingPolls((poll) => poll.id === message.pollId);
    }
  }

  override close(): void {
    this.#answerPendingPolls(() => true);
    super.close();
  }

  /** Applies a batch; ignores one that begins above the next offset, since it would leave a gap. */
  #applyBatch({ fromOffset, records, nextOffset, broken }: RecordBatch): void {
    const before = this.#fleet.nextOffset;
    if (fromOffset > before || nextOffset <= before) return;
    records.forEach((record) => {
      if (record.offset < this.#fleet.nextOffset) return;
      const because = this.#causes.find(this.#fleet.data, record.body);
      this.#causes.add(this.#fleet.data, record);
      const verdict = this.#fleet.apply(record);
      this.#recentRecords.add(record);
      this.#recordVerdict(record, verdict);
      this.scope.recordEvent(describeRecord(record, { ...verdict, because }));
    });
    this.#fleet.raiseNextOffset(nextOffset);
    if (broken > 0) {
      this.#broken += broken;
      const detail = `${broken} unreadable entries from ${fromOffset} to ${nextOffset}`;
      this.scope.recordEvent({ type: 'record.skipped', offset: nextOffset, detail });
    }
    this.#notify();
  }

  #restore(snapshot: FleetSnapshot): void {
    if (snapshot.nextOffset <= this.#fleet.nextOffset) return;
    this.#fleet = Fleet.restore(snapshot, { isOwned: true });
    this.#recentRecords.reset(snapshot.nextOffset);
    this.scope.recordEvent({ type: 'fleet.restored', offset: snapshot.nextOffset });
    this.#notify();
  }

  #notify(): void {
    this.#projectors.forEach((projector) => projector.project(this.#fleet));
    this.#answerPendingPolls((poll) => poll.offset < this.#fleet.nextOffset);
  }

  #describePosition(requestedRevision?: number): FleetPosition {
    const { nextOffset, revision, time } = this.#fleet;
    const change =
      requestedRevision === undefined ? undefined : this.#appliedChanges.get(requestedRevision);
    return { nextOffset, revision, time, broken: this.#broken, change };
  }

  #readTail(offset: number): FleetTail | undefined {
    const { nextOffset } = this.#fleet;
    if (!this.#recentRecords.has(offset) || offset > nextOffset) return undefined;
    const { records } = this.#recentRecords.read(offset, Number.POSITIVE_INFINITY);
    return { records, nextOffset, slices: this.#fleet.snapshotSlices() };
  }

  #answerPoll(offset: number, waitMs: number, reply: (answer: RecordsResponse) => void): void {
    if (!this.#isReady || offset < this.#fleet.nextOffset || waitMs <= 0) {
      reply(this.#readRecords(offset));
    } else this.#pendingPolls.add({ offset, waitMs, reply });
  }

  #readRecords(offset: number): RecordsResponse {
    const { records, isLast } = this.#recentRecords.read(offset);
    const expired = !this.#recentRecords.has(offset);
    const end = isLast ? this.#fleet.nextOffset : (records.at(-1)?.offset ?? offset) + 1;
    return {
      fromOffset: offset,
      records: expired ? [] : records,
      nextOffset: expired ? offset : Math.max(offset, end),
      broken: 0,
      isComplete: isLast,
      contactAgeMs: Math.min(
        Number.MAX_SAFE_INTEGER,
        Math.max(0, this.#clock.readMonotonic() - this.#contactAt),
      ),
      expired,
      isReady: this.#isReady,
    };
  }

  #answerPendingPolls(isDue: (poll: { id: number; offset: number }) => boolean): void {
    this.#pendingPolls.take(isDue).forEach(({ offset, reply }) => reply(this.#readRecords(offset)));
  }

  #recordVerdict(record: LoggedRecord, verdict: Verdict): void {
    const { offset } = record;
    if (verdict.outcome === 'duplicate') return;
    const key = `${record.writer}/${record.sequence}`;
    const answer = { verdict, offset, revision: this.#fleet.revision };
    this.#verdicts.set(key, answer);
    this.#verdictWaiters.get(key)?.(answer);
    this.#verdictWaiters.delete(key);
    pruneOldest(this.#verdicts, MAX_KEPT_VERDICTS);
    if (this.#fleet.revision !== offset + 1) return;
    this.#appliedChanges.set(offset + 1, {
      appendedAt: record.time,
      foldedAt: this.#clock.readWall(),
    });
    pruneOldest(this.#appliedChanges, MAX_KEPT_CHANGES);
  }

  #answerVerdict(id: RecordId, reply: (answer: VerdictResponse) => void): void {
    const key = `${id.writer}/${id.sequence}`;
    const answer = this.#verdicts.get(key);
    if (answer) {
      reply(answer);
      return;
    }
    this.#verdictWaiters.set(key, reply);
    pruneOldest(this.#verdictWaiters, MAX_KEPT_VERDICTS);
  }
}
