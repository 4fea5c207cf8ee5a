import { setImmediate as yieldToEventLoop } from 'node:timers/promises';
import VError from 'verror';
import {
  collectSlices,
  describeContracts,
  describeFleet,
  describeHost,
  describeWaves,
  queryFleet,
  readProcessStatus,
  type ContractDescription,
  type FleetFollower,
  type FleetReplica,
  type FleetSnapshot,
  type FleetSummary,
  type SerializedFleet,
  type FollowerStatus,
  type HostDescription,
  type ProcessStatus,
  type SessionState,
  type RecordsResponse,
  type VerdictResponse,
  type WaveReport,
} from '../fleet/mod.js';
import type { ActorScope } from '../actor/mod.js';
import type { LogWriter, SubmitAnswer } from '../log/mod.js';
import type { Operation, RecordBody } from '../record/mod.js';
import type { ServiceLoad } from '../pool/mod.js';
import type { DemandWatcher } from './DemandWatcher.js';
import type { HostWatcher } from './HostWatcher.js';
import { queryRollout, type Rollout } from './queryRollout.js';
import { splitChange } from './splitChange.js';

/** How long a proposal may take to come back from the log before the caller is told so. */
const VERDICT_TIMEOUT_MS = 10_000;
/** How long a proposal may wait for the platform to confirm it. */
const SUBMIT_TIMEOUT_MS = 10_000;

/** A change as an operator sends it. */
export interface ChangeRequest {
  baseRevision: number;
  operations: Operation[];
  operator: string;
}

/** What a gateway saw of hosts; it repeats the report about every 5 s while it lasts. */
export interface HostReport {
  reporter: string;
  /** Hosts that fail everything. */
  hosts: string[];
  /** Failed hosts that answered a probe. */
  healthy: string[];
}

/** The actors that the API of a controller speaks to. */
export interface ControllerApiOptions {
  replica: FleetReplica;
  follower: FleetFollower;
  writer: LogWriter;
  hostWatcher: HostWatcher;
  demandWatcher: DemandWatcher;
  /** Where submitted changes are recorded. */
  scope: ActorScope;
  session: string;
  dataCentre: string;
}

/** What a controller does for its clients, apart from the encoding of the calls. */
export class ControllerApi {
  readonly #replica: FleetReplica;

  readonly #writer: LogWriter;

  readonly #options: ControllerApiOptions;

  constructor(options: ControllerApiOptions) {
    this.#options = options;
    this.#replica = options.replica;
    this.#writer = options.writer;
  }

  /** Reads the records from an offset. */
  readRecords(offset: number, waitMs: number): Promise<RecordsResponse> {
    return this.#replica.ask<RecordsResponse>(
      (reply) => ({ type: 'since', offset, waitMs, reply }),
      waitMs + VERDICT_TIMEOUT_MS,
    );
  }

  /**
   * Reads the whole state.
   *
   * @throws When the controller has no state yet.
   */
  async readSnapshot(): Promise<FleetSnapshot> {
    const { readiness, reason } = await this.#readFollowerStatus();
    if (readiness === 'not-ready') throw new VError({ name: 'NotReadyError' }, '%s', reason);
    const { slices } = await this.#replica.ask<SerializedFleet>(
      (reply) => ({ type: 'text', reply }),
      VERDICT_TIMEOUT_MS,
    );
    // A turn for each of writing, parsing and encoding keeps each below 50 ms at 19,000 hosts.
    const text = await collectSlices(slices);
    const snapshot = JSON.parse(text) as FleetSnapshot;
    await yieldToEventLoop();
    return snapshot;
  }

  /** Describes the pools of the fleet. */
  describeFleet(): Promise<FleetSummary> {
    return queryFleet(this.#replica, describeFleet);
  }

  /** Describes a host; null for one that is not configured. */
  describeHost(name: string): Promise<HostDescription | null> {
    const now = Date.now();
    return queryFleet(this.#replica, (fleet) => describeHost(fleet, { name, now }) ?? null);
  }

  /** Describes the promises of the pools. */
  describeContracts(): Promise<ContractDescription[]> {
    const now = Date.now();
    return queryFleet(this.#replica, (fleet) => describeContracts(fleet, now));
  }

  /** Describes the maintenance waves. */
  describeWaves(): Promise<WaveReport[]> {
    const now = Date.now();
    return queryFleet(this.#replica, (fleet) => describeWaves(fleet, now));
  }

  /** Lists the open sessions. */
  listSessions(): Promise<SessionState[]> {
    return queryFleet(this.#replica, (fleet) => [
      ...fleet.data.listSessions('controller'),
      ...fleet.data.listSessions('gateway'),
    ]);
  }

  /** Names the session, for the controllers that probe this one. */
  answerProbe(): { session: string } {
    return { session: this.#options.session };
  }

  /** Reads the state of the process; with a revision also when it folded that change. */
  readStatus(revision?: number): Promise<ProcessStatus> {
    return readProcessStatus({ ...this.#options, role: 'controller' }, revision);
  }

  /** Asks every process of the open sessions what it runs. */
  async readRollout(revision?: number): Promise<Rollout> {
    const sessions = await this.listSessions();
    const requestedRevision = revision ?? (await this.readStatus()).revision;
    return queryRollout(sessions, requestedRevision);
  }

  /** Takes a gateway's report of hosts that fail, and of failed hosts that work again. */
  report({ reporter, hosts, healthy }: HostReport): void {
    const { hostWatcher } = this.#options;
    hostWatcher.send({ type: 'report', reporter, hosts, isHealthy: false });
    hostWatcher.send({ type: 'report', reporter, hosts: healthy, isHealthy: true });
  }

  /** Takes the load of services as a gateway sees it; the gateway reports it about every 5 s. */
  reportLoad(reporter: string, loads: ServiceLoad[]): void {
    this.#options.demandWatcher.send({ type: 'load', reporter, loads });
  }

  /**
   * Appends the parts of a change and returns the verdict on the whole.
   *
   * @throws `NotAppliedError` when the change certainly has no effect; `OutcomeUnknownError` when it
   * may have taken effect or may still do so.
   */
  async changeConfiguration(request: ChangeRequest): Promise<VerdictResponse> {
    const parts = splitChange(request);
    if (parts.length === 0) throw new RangeError('a change needs at least one operation');
    const [first] = parts;
    this.#options.scope.recordEvent({
      type: 'change.submitted',
      change: first?.changeId,
      detail: `${request.operations.length} operations by ${request.operator}`,
    });
    return this.#submit(parts);
  }

  /** Appends a record and returns the verdict on it; throws as `changeConfiguration` does. */
  append(body: RecordBody): Promise<VerdictResponse> {
    return this.#submit([body]);
  }

  #readFollowerStatus(): Promise<FollowerStatus> {
    return this.#options.follower.ask<FollowerStatus>((reply) => ({ type: 'status', reply }));
  }

  async #submit(bodies: RecordBody[]): Promise<VerdictResponse> {
    const answer = await this.#writer.ask<SubmitAnswer>(
      (reply) => ({ type: 'submit', bodies, timeoutMs: SUBMIT_TIMEOUT_MS, reply }),
      // The writer answers by itself; the margin keeps its answer from being missed.
      SUBMIT_TIMEOUT_MS + VERDICT_TIMEOUT_MS,
    );
    if (answer.outcome === 'not-applied') {
      throw new VError({ name: 'NotAppliedError' }, 'not applied: %s', answer.reason);
    }
    if (answer.outcome === 'unknown') {
      throw new VError({ name: 'OutcomeUnknownError' }, 'outcome unknown: %s', answer.reason);
    }
    const id = answer.ids.at(-1);
    if (id === undefined) throw new RangeError('no record was appended');
    try {
      return await this.#replica.ask<VerdictResponse>(
        (reply) => ({ type: 'verdict', id, reply }),
        VERDICT_TIMEOUT_MS,
      );
    } catch {
      const message = 'outcome unknown: appended, but not read back from the log in time';
      throw new VError({ name: 'OutcomeUnknownError' }, message);
    }
  }
}
