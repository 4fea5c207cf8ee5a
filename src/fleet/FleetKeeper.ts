import { Actor, type ActorScope } from '../actor/mod.js';
import type { LoggedRecord } from '../record/mod.js';
import type { RecordBatch, RecordId } from '../log/mod.js';
import { describeRecord } from '../timeline/mod.js';
import { Fleet } from './Fleet.js';
import type { FleetProjector } from './FleetProjector.js';
import { FleetSnapshot } from './FleetSnapshot.js';
import type { Verdict } from './Verdict.js';

/** Records kept for followers; one that is further behind starts from a snapshot. */
const KEPT_RECORDS = 5_000;
const KEPT_VERDICTS = 5_000;

/** Answer to a follower; `expired` tells it to start from a snapshot. */
export interface SinceAnswer extends RecordBatch {
  expired: boolean;
}

/** Answer to a proposer: what the fold did with its record, at which configuration revision. */
export interface VerdictAnswer {
  verdict: Verdict;
  offset: number;
  revision: number;
}

/** Messages of the keeper. */
export type FleetKeeperMessage =
  | { type: 'records'; batch: RecordBatch }
  | { type: 'restore'; snapshot: FleetSnapshot }
  | { type: 'since'; offset: number; waitMs: number; reply: (answer: SinceAnswer) => void }
  | { type: 'snapshot'; reply: (snapshot: FleetSnapshot) => void }
  | { type: 'verdict'; id: RecordId; reply: (answer: VerdictAnswer) => void }
  | { type: 'project'; projector: FleetProjector }
  | { type: 'subscribe'; projector: FleetProjector }
  | { type: 'expire'; waiter: number };

interface Waiter {
  id: number;
  offset: number;
  timer: NodeJS.Timeout;
  reply: (answer: SinceAnswer) => void;
}

/** Owns the fleet of a process: folds records, answers followers, and notifies projectors. */
export class FleetKeeper extends Actor<FleetKeeperMessage> {
  #fleet = new Fleet();

  #records: LoggedRecord[] = [];

  /** Offset from which `#records` is complete. */
  #keptFrom = 0;

  #waiters: Waiter[] = [];

  #nextWaiter = 0;

  readonly #verdicts = new Map<string, VerdictAnswer>();

  readonly #verdictWaiters = new Map<string, (answer: VerdictAnswer) => void>();

  readonly #projectors: FleetProjector[] = [];

  constructor(scope: ActorScope) {
    super(scope, 'fleet-keeper');
  }

  protected override receive(message: FleetKeeperMessage): void {
    switch (message.type) {
      case 'records':
        this.#fold(message.batch);
        break;
      case 'restore':
        this.#restore(message.snapshot);
        break;
      case 'since':
        this.#answerSince(message.offset, message.waitMs, message.reply);
        break;
      case 'snapshot':
        message.reply(this.#fleet.snapshot());
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
        this.#wake((waiter) => waiter.id === message.waiter);
    }
  }

  override close(): void {
    this.#wake(() => true);
    super.close();
  }

  #fold({ records, nextOffset }: RecordBatch): void {
    const before = this.#fleet.nextOffset;
    records.forEach((record) => {
      if (record.offset < this.#fleet.nextOffset) return;
      const verdict = this.#fleet.apply(record);
      this.#records.push(record);
      this.#recordVerdict(record, verdict);
      this.scope.recordEvent(describeRecord(record, verdict));
    });
    this.#fleet.increase(nextOffset);
    if (this.#fleet.nextOffset === before) return;
    if (this.#records.length > 2 * KEPT_RECORDS) {
      this.#records = this.#records.slice(-KEPT_RECORDS);
      this.#keptFrom = this.#records[0]?.offset ?? this.#fleet.nextOffset;
    }
    this.#notify();
  }

  #restore(snapshot: FleetSnapshot): void {
    if (snapshot.nextOffset <= this.#fleet.nextOffset) return;
    this.#fleet = Fleet.restore(snapshot);
    this.#records = [];
    this.#keptFrom = snapshot.nextOffset;
    this.#notify();
  }

  #notify(): void {
    this.#projectors.forEach((projector) => projector.project(this.#fleet));
    this.#wake((waiter) => waiter.offset < this.#fleet.nextOffset);
  }

  #answerSince(offset: number, waitMs: number, reply: (answer: SinceAnswer) => void): void {
    if (offset < this.#fleet.nextOffset || waitMs <= 0) {
      reply(this.#readSince(offset));
      return;
    }
    this.#nextWaiter += 1;
    const id = this.#nextWaiter;
    const timer = setTimeout(() => this.send({ type: 'expire', waiter: id }), waitMs);
    this.#waiters.push({ id, offset, timer, reply });
  }

  #readSince(offset: number): SinceAnswer {
    const { nextOffset } = this.#fleet;
    if (offset < this.#keptFrom) return { records: [], nextOffset: offset, expired: true };
    const records = this.#records.filter((record) => record.offset >= offset);
    return { records, nextOffset: Math.max(offset, nextOffset), expired: false };
  }

  #wake(isDue: (waiter: Waiter) => boolean): void {
    const due = this.#waiters.filter(isDue);
    this.#waiters = this.#waiters.filter((waiter) => !due.includes(waiter));
    due.forEach((waiter) => {
      clearTimeout(waiter.timer);
      waiter.reply(this.#readSince(waiter.offset));
    });
  }

  #recordVerdict(record: LoggedRecord, verdict: Verdict): void {
    if (verdict.outcome === 'duplicate') return;
    const key = `${record.writer}/${record.sequence}`;
    const answer = { verdict, offset: record.offset, revision: this.#fleet.revision };
    this.#verdicts.set(key, answer);
    this.#verdictWaiters.get(key)?.(answer);
    this.#verdictWaiters.delete(key);
    if (this.#verdicts.size <= KEPT_VERDICTS) return;
    const oldest = this.#verdicts.keys().next().value;
    if (oldest !== undefined) this.#verdicts.delete(oldest);
  }

  #answerVerdict(id: RecordId, reply: (answer: VerdictAnswer) => void): void {
    const key = `${id.writer}/${id.sequence}`;
    const answer = this.#verdicts.get(key);
    if (answer) reply(answer);
    else this.#verdictWaiters.set(key, reply);
  }
}
