import { Actor, type ActorScope } from '../actor/mod.js';
import { SystemClock, type Clock } from '../clock/mod.js';
import type { RecordBatch, RecordId } from '../log/mod.js';
import type { LoggedRecord } from '../record/mod.js';
import { describeRecord } from '../timeline/mod.js';
import { Fleet } from './Fleet.js';
import type { FleetProjector } from './FleetProjector.js';
import type { FoldedChange } from './ProcessStatus.js';
import { FleetSnapshot } from './FleetSnapshot.js';
import { RecordCauses } from './_RecordCauses.js';
import { RecordRing } from './_RecentRecords.js';
import type { SinceAnswer } from './RecordsResponse.js';
import { SinceWaiters } from './_PendingPolls.js';
import type { Verdict } from './Verdict.js';

const KEPT_VERDICTS = 5_000;
/** Accepted changes whose rollout can be asked for: about two hours at 61,000 a day. */
const KEPT_CHANGES = 5_000;

/** Answer to a proposer: what the fold did with its record, at which configuration revision. */
export interface VerdictAnswer {
  verdict: Verdict;
  offset: number;
  revision: number;
}

/** Where a process stands in the log. */
export interface FleetPosition {
  nextOffset: number;
  revision: number;
  /** Platform time of the last record folded. */
  time: number;
  /** Entries that were skipped because they are broken or of an unknown type. */
  broken: number;
  /** When the change of the revision asked for was appended and folded here. */
  change?: FoldedChange;
}

/** Records after an offset, with the state that they lead to. */
export interface FleetTail {
  records: LoggedRecord[];
  nextOffset: number;
  /** JSON text of the state. */
  slices: Generator<string>;
}

/** The state at an offset as JSON text, in slices for the receiver to take in turns of its own. */
export interface FleetText {
  slices: Generator<string>;
  offset: number;
}

/** Messages of the keeper. */
export type FleetKeeperMessage =
  | { type: 'records'; batch: RecordBatch }
  /** The keeper takes the snapshot over. */
  | { type: 'restore'; snapshot: FleetSnapshot }
  /** What the follower knows of its sources; `contactAt` is a monotonic time. */
  | { type: 'contact'; isReady: boolean; contactAt: number }
  | { type: 'since'; offset: number; waitMs: number; reply: (answer: SinceAnswer) => void }
  | { type: 'tail'; offset: number; reply: (tail: FleetTail | undefined) => void }
  | { type: 'snapshot'; reply: (snapshot: FleetSnapshot) => void }
  | { type: 'text'; reply: (text: FleetText) => void }
  | { type: 'position'; revision?: number; reply: (position: FleetPosition) => void }
  | { type: 'verdict'; id: RecordId; reply: (answer: VerdictAnswer) => void }
  | { type: 'project'; projector: FleetProjector }
  | { type: 'subscribe'; projector: FleetProjector }
  | { type: 'expire'; waiter: number };

/** Options of a keeper. */
export interface FleetKeeperOptions {
  clock?: Clock;
}

function pruneOldest<Key>(map: Map<Key, unknown>, kept: number): void {
  const oldest = map.keys().next().value;
  if (map.size > kept && oldest !== undefined) map.delete(oldest);
}

/** Owns the fleet of a process: folds records, answers followers, and notifies projectors. */
export class FleetKeeper extends Actor<FleetKeeperMessage> {
  readonly #clock: Clock;

  #fleet = new Fleet();

  readonly #ring = new RecordRing();

  readonly #causes = new RecordCauses();

  readonly #waiters = new SinceWaiters((waiter) => this.send({ type: 'expire', waiter }));

  readonly #verdicts = new Map<string, VerdictAnswer>();

  readonly #verdictWaiters = new Map<string, (answer: VerdictAnswer) => void>();

  readonly #changes = new Map<number, FoldedChange>();

  readonly #projectors: FleetProjector[] = [];

  #broken = 0;

  #isReady = false;

  #contactAt = Number.NEGATIVE_INFINITY;

  constructor(scope: ActorScope, options: FleetKeeperOptions = {}) {
    super(scope, 'fleet-keeper');
    this.#clock = options.clock ?? new SystemClock();
  }

  protected override receive(message: FleetKeeperMessage): void {
    switch (message.type) {
      case 'records':
        this.#fold(message.batch);
        break;
      case 'restore':
        this.#restore(message.snapshot);
        break;
      case 'contact':
        this.#isReady = message.isReady;
        this.#contactAt = message.contactAt;
        break;
      case 'since':
        this.#answerSince(message.offset, message.waitMs, message.reply);
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
        this.#answerWaiters((waiter) => waiter.id === message.waiter);
    }
  }

  override close(): void {
    this.#answerWaiters(() => true);
    super.close();
  }

  /** A batch that begins above the next offset would leave a gap and is ignored. */
  #fold({ fromOffset, records, nextOffset, broken }: RecordBatch): void {
    const before = this.#fleet.nextOffset;
    if (fromOffset > before || nextOffset <= before) return;
    records.forEach((record) => {
      if (record.offset < this.#fleet.nextOffset) return;
      const because = this.#causes.find(this.#fleet.data, record.body);
      this.#causes.add(this.#fleet.data, record);
      const verdict = this.#fleet.apply(record);
      this.#ring.add(record);
      this.#recordVerdict(record, verdict);
      this.scope.recordEvent(describeRecord(record, { ...verdict, because }));
    });
    this.#fleet.increase(nextOffset);
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
    this.#ring.reset(snapshot.nextOffset);
    this.scope.recordEvent({ type: 'fleet.restored', offset: snapshot.nextOffset });
    this.#notify();
  }

  #notify(): void {
    this.#projectors.forEach((projector) => projector.project(this.#fleet));
    this.#answerWaiters((waiter) => waiter.offset < this.#fleet.nextOffset);
  }

  #describePosition(asked?: number): FleetPosition {
    const { nextOffset, revision, time } = this.#fleet;
    const change = asked === undefined ? undefined : this.#changes.get(asked);
    return { nextOffset, revision, time, broken: this.#broken, change };
  }

  #readTail(offset: number): FleetTail | undefined {
    const { nextOffset } = this.#fleet;
    if (!this.#ring.has(offset) || offset > nextOffset) return undefined;
    const { records } = this.#ring.read(offset, Number.POSITIVE_INFINITY);
    return { records, nextOffset, slices: this.#fleet.snapshotSlices() };
  }

  #answerSince(offset: number, waitMs: number, reply: (answer: SinceAnswer) => void): void {
    if (!this.#isReady || offset < this.#fleet.nextOffset || waitMs <= 0) {
      reply(this.#readSince(offset));
    } else this.#waiters.add({ offset, waitMs, reply });
  }

  #readSince(offset: number): SinceAnswer {
    const { records, isLast } = this.#ring.read(offset);
    const expired = !this.#ring.has(offset);
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

  #answerWaiters(isDue: (waiter: { id: number; offset: number }) => boolean): void {
    this.#waiters.take(isDue).forEach(({ offset, reply }) => reply(this.#readSince(offset)));
  }

  #recordVerdict(record: LoggedRecord, verdict: Verdict): void {
    const { offset } = record;
    if (verdict.outcome === 'duplicate') return;
    const key = `${record.writer}/${record.sequence}`;
    const answer = { verdict, offset, revision: this.#fleet.revision };
    this.#verdicts.set(key, answer);
    this.#verdictWaiters.get(key)?.(answer);
    this.#verdictWaiters.delete(key);
    pruneOldest(this.#verdicts, KEPT_VERDICTS);
    if (this.#fleet.revision !== offset + 1) return;
    this.#changes.set(offset + 1, { appendedAt: record.time, foldedAt: this.#clock.readWall() });
    pruneOldest(this.#changes, KEPT_CHANGES);
  }

  #answerVerdict(id: RecordId, reply: (answer: VerdictAnswer) => void): void {
    const key = `${id.writer}/${id.sequence}`;
    const answer = this.#verdicts.get(key);
    if (answer) {
      reply(answer);
      return;
    }
    this.#verdictWaiters.set(key, reply);
    pruneOldest(this.#verdictWaiters, KEPT_VERDICTS);
  }
}
