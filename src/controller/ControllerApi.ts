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
import type { LogWriter, LogSubmitResult } from '../log/mod.js';
import type { Operation, RecordBody } from '../record/mod.js';
import type { ServiceLoad } from '../pool/mod.js';
import type { DemandWatcher } from './DemandWatcher.js';
import type { HostWatcher } from './HostWatcher.js';
import { queryRollout, type Rollout } from './queryRollout.js';
import { splitChange } from './splitChange.js';

/** Time limit for a proposal to be read back from the log; the caller then gets an error. */
const VERDICT_TIMEOUT_MS = 10_000;
/** Time limit for the platform to confirm the append of a proposal. */
const SUBMIT_TIMEOUT_MS = 10_000;

/** A configuration change submitted by an operator. */
export interface ChangeRequest {
  baseRevision: number;
  operations: Operation[];
  operator: string;
}

/** Host health observed by a gateway, which repeats the report about every 5 s while it applies. */
export interface HostReport {
  reporter: string;
  /** Hosts on which every request fails. */
  hosts: string[];
  /** Failed hosts that have answered a probe. */
  healthy: string[];
}

/** Options of a `ControllerApi`: the actors that it uses and the identity of the process. */
export interface ControllerApiOptions {
  replica: FleetReplica;
  follower: FleetFollower;
  writer: LogWriter;
  hostWatcher: HostWatcher;
  demandWatcher: DemandWatcher;
  /** Receives an event for each submitted change. */
  scope: ActorScope;
  session: string;
  dataCentre: string;
}

/** The operations that a controller offers to clients, independent of how calls are encoded. */
export class ControllerApi {
  readonly #replica: FleetReplica;

  readonly #writer: LogWriter;

  readonly #options: ControllerApiOptions;

  constructor(options: ControllerApiOptions) {
    this.#options = options;
    this.#replica = options.replica;
    this.#writer = options.writer;
  }

  /** Reads the records from an offset on, waiting up to `waitMs` if there are none yet. */
  readRecords(offset: number, waitMs: number): Promise<RecordsResponse> {
    return this.#replica.ask<RecordsResponse>(
      (reply) => ({ type: 'since', offset, waitMs, reply }),
      waitMs + VERDICT_TIMEOUT_MS,
    );
  }

  /**
   * Reads a snapshot of the complete fleet state.
   *
   * @throws `NotReadyError` if the controller has no state yet.
   */
  async readSnapshot(): Promise<FleetSnapshot> {
    const { readiness, reason } = await this.#readFollowerStatus();
    if (readiness === 'not-ready') throw new VError({ name: 'NotReadyError' }, '%s', reason);
    const { slices } = await this.#replica.ask<SerializedFleet>(
      (reply) => ({ type: 'text', reply }),
      VERDICT_TIMEOUT_MS,
    );
    // Serializing, parsing and encoding run in separate turns of the event loop, so that each
    // blocks it for less than 50 ms at 19,000 hosts.
    const text = await collectSlices(slices);
    const snapshot = JSON.parse(text) as FleetSnapshot;
    await yieldToEventLoop();
    return snapshot;
  }

  /** Summarizes the fleet by pool. */
  describeFleet(): Promise<FleetSummary> {
    return queryFleet(this.#replica, describeFleet);
  }

  /** Describes a host; null if it is not configured. */
  describeHost(name: string): Promise<HostDescription | null> {
    const now = Date.now();
    return queryFleet(this.#replica, (fleet) => describeHost(fleet, { name, now }) ?? null);
  }

  /** Describes the contracts of the pools. */
  describeContracts(): Promise<ContractDescription[]> {
    const now = Date.now();
    return queryFleet(this.#replica, (fleet) => describeContracts(fleet, now));
  }

  /** Describes the maintenance waves. */
  describeWaves(): Promise<WaveReport[]> {
    const now = Date.now();
    return queryFleet(this.#replica, (fleet) => describeWaves(fleet, now));
  }

  /** Lists the open controller and gateway sessions. */
  listSessions(): Promise<SessionState[]> {
    return queryFleet(this.#replica, (fleet) => [
      ...fleet.data.listSessions('controller'),
      ...fleet.data.listSessions('gateway'),
    ]);
  }

  /** Returns the session id, by which other controllers check that this process is alive. */
  answerProbe(): { session: string } {
    return { session: this.#options.session };
  }

  /** Reads the status of the process and, given a revision, when that change was applied. */
  readStatus(revision?: number): Promise<ProcessStatus> {
    return readProcessStatus({ ...this.#options, role: 'controller' }, revision);
  }

  /** Queries every process with an open session for its revision. */
  async readRollout(revision?: number): Promise<Rollout> {
    const sessions = await this.listSessions();
    const requestedRevision = revision ?? (await this.readStatus()).revision;
    return queryRollout(sessions, requestedRevision);
  }

  /** Accepts a gateway's report of failing hosts and of failed hosts that have recovered. */
  report({ reporter, hosts, healthy }: HostReport): void {
    const { hostWatcher } = this.#options;
    hostWatcher.send({ type: 'report', reporter, hosts, isHealthy: false });
    hostWatcher.send({ type: 'report', reporter, hosts: healthy, isHealthy: true });
  }

  /** Accepts the load of services measured by a gateway, which reports it about every 5 s. */
  reportLoad(reporter: string, loads: ServiceLoad[]): void {
    this.#options.demandWatcher.send({ type: 'load', reporter, loads });
  }

  /**
   * Appends all parts of a configuration change and returns the verdict on the complete change.
   *
   * @throws `NotAppliedError` if the change is certain to have no effect; `OutcomeUnknownError` if
   * it may have taken effect or may still do so.
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

  /** Appends a record and returns its verdict; throws the same errors as `changeConfiguration`. */
  append(body: RecordBody): Promise<VerdictResponse> {
    return this.#submit([body]);
  }

  #readFollowerStatus(): Promise<FollowerStatus> {
    return this.#options.follower.ask<FollowerStatus>((reply) => ({ type: 'status', reply }));
  }

  async #submit(bodies: RecordBody[]): Promise<VerdictResponse> {
    const answer = await this.#writer.ask<LogSubmitResult>(
      (reply) => ({ type: 'submit', bodies, timeoutMs: SUBMIT_TIMEOUT_MS, reply }),
      // The writer enforces `timeoutMs` itself; the longer limit here ensures that its reply
      // arrives.
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
