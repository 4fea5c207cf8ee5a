import { sortHostStateFields, type Host, type HostState } from '../host/mod.js';
import type { ObjectKind } from '../record/mod.js';
import { Configuration, type ConfiguredObject } from './_Configuration.js';
import { FleetIndex } from './_FleetIndex.js';
import type {
  DataCentreSet,
  EndedSession,
  FleetSnapshot,
  PendingChange,
  SessionState,
} from './FleetSnapshot.js';
import { splitSnapshot } from './_splitSnapshot.js';

/**
 * Time after which the sequence of an inactive writer is dropped; its process has ended by then.
 */
const WRITER_RETENTION_MS = 24 * 3_600_000;
/** Time after which an incomplete change is dropped, since its writer has abandoned it. */
const PENDING_CHANGE_TIMEOUT_MS = 3_600_000;

interface WriterState {
  sequence: number;
  time: number;
}

function compareNames([a]: [string, unknown], [b]: [string, unknown]): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

function sortValues<T>(map: Map<string, T>): T[] {
  return [...map].sort(compareNames).map(([, value]) => value);
}

function sortEntries<T>(map: Map<string, T>): Record<string, T> {
  return Object.fromEntries([...map].sort(compareNames));
}

/** The mutable data of the fleet state. Only the `_apply` modules modify it. */
export class FleetData {
  nextOffset = 0;

  time = 0;

  revision = 0;

  readonly configuration: Configuration;

  /** States are replaced and never modified in place, so that copies of the map stay valid. */
  readonly hostStates: Map<string, HostState>;

  /** Hosts that a pool needs beyond its rules because of a sustained overload; never 0. */
  readonly demands = new Map<string, number>();

  readonly sessions = new Map<string, SessionState>();

  endedSessions: EndedSession[] = [];

  readonly claimLeases = new Map<string, number>();

  readonly dataCentreSets: DataCentreSet[] = [];

  readonly views = new Map<string, number>();

  readonly pendingChanges = new Map<string, PendingChange>();

  /** Counters derived from `hostStates`; `setHostState` keeps them up to date. */
  readonly index: FleetIndex;

  readonly #writers = new Map<string, WriterState>();

  #writersPrunedAt = 0;

  constructor(
    configuration = new Configuration(),
    hostStates = new Map<string, HostState>(),
    index = new FleetIndex(),
  ) {
    this.configuration = configuration;
    this.hostStates = hostStates;
    this.index = index;
  }

  /** Builds the data from a snapshot. The caller must not use the snapshot afterwards. */
  static fromSnapshot(snapshot: FleetSnapshot): FleetData {
    const data = new FleetData();
    data.nextOffset = snapshot.nextOffset;
    data.time = snapshot.time;
    data.revision = snapshot.revision;
    data.configuration.restore('dataCentre', snapshot.dataCentres);
    data.configuration.restore('host', snapshot.hosts);
    data.configuration.restore('pool', snapshot.pools);
    data.configuration.restore('service', snapshot.services);
    data.configuration.restore('team', snapshot.teams);
    Object.entries(snapshot.removed).forEach(([key, at]) =>
      data.configuration.removed.set(key, at),
    );
    Object.entries(snapshot.hostStates).forEach(([name, state]) =>
      data.hostStates.set(name, state),
    );
    Object.entries(snapshot.demands).forEach(([pool, extra]) => data.demands.set(pool, extra));
    snapshot.sessions.forEach((session) => data.sessions.set(session.session, session));
    data.endedSessions = snapshot.endedSessions;
    Object.entries(snapshot.claimLeases).forEach(([name, until]) =>
      data.claimLeases.set(name, until),
    );
    data.dataCentreSets.push(...snapshot.dataCentreSets);
    Object.entries(snapshot.views).forEach(([name, view]) => data.views.set(name, view));
    Object.entries(snapshot.writers).forEach(([name, writer]) => data.#writers.set(name, writer));
    Object.entries(snapshot.pendingChanges).forEach(([id, pending]) =>
      data.pendingChanges.set(id, pending),
    );
    data.hostStates.forEach((state, name) => {
      const host = data.configuration.host.get(name)?.object;
      if (host !== undefined) data.index.add(host, state);
    });
    return data;
  }

  /** Copies the data that host decisions depend on, so that a plan can try decisions on it. */
  copyForPlan(): FleetData {
    const copy = new FleetData(
      this.configuration.copy(),
      new Map(this.hostStates),
      this.index.copy(),
    );
    copy.nextOffset = this.nextOffset;
    copy.time = this.time;
    copy.revision = this.revision;
    this.demands.forEach((extra, pool) => copy.demands.set(pool, extra));
    this.sessions.forEach((session, name) => copy.sessions.set(name, { ...session }));
    return copy;
  }

  /** Replaces or removes the state of a configured host and updates the counters. */
  setHostState(name: string, after: HostState | undefined): void {
    const host = this.configuration.host.get(name)?.object;
    if (host === undefined) return;
    const before = this.hostStates.get(name);
    if (before !== undefined) this.index.remove(host, before);
    if (after === undefined) this.hostStates.delete(name);
    else {
      this.hostStates.set(name, sortHostStateFields(after));
      this.index.add(host, after);
    }
  }

  /** Returns whether all given gateway sessions have reported a host as drained. */
  isDrained(name: string, gateways: readonly SessionState[]): boolean {
    const drainedBy = this.hostStates.get(name)?.drainedBy ?? [];
    return gateways.every(({ session }) => drainedBy.includes(session));
  }

  /** Lists the open sessions of a role, sorted by id. */
  listSessions(role: SessionState['role']): SessionState[] {
    return sortValues(this.sessions).filter((session) => session.role === role);
  }

  /**
   * Lists the hosts of a data centre, sorted by name. Filters before sorting, because gateways call
   * this after each batch of records.
   */
  listHosts(dataCentre: string): Host[] {
    const hosts: Host[] = [];
    this.configuration.host.forEach(({ object }) => {
      if (object.dataCentre === dataCentre) hosts.push(object);
    });
    return hosts.sort((a, b) => compareNames([a.name, a], [b.name, b]));
  }

  /** Lists the configured objects of a kind, sorted by name. */
  listObjects<Kind extends ObjectKind>(
    kind: Kind,
  ): (Configuration[Kind] extends Map<string, ConfiguredObject<infer T>> ? T : never)[] {
    const objects = this.configuration[kind] as Map<string, ConfiguredObject<never>>;
    return sortValues(objects).map((entry) => entry.object);
  }

  /** Advances platform time, which never goes back, and drops expired incomplete changes. */
  increaseTime(time: number): void {
    this.time = Math.max(this.time, time);
    this.pendingChanges.forEach((pending, changeId) => {
      if (this.time - pending.time > PENDING_CHANGE_TIMEOUT_MS)
        this.pendingChanges.delete(changeId);
    });
  }

  /** Records a writer's sequence number; returns false if it was already applied. */
  acceptSequence(writer: string, sequence: number): boolean {
    const last = this.#writers.get(writer)?.sequence ?? 0;
    if (sequence <= last) return false;
    this.#writers.set(writer, { sequence, time: this.time });
    if (this.time - this.#writersPrunedAt > WRITER_RETENTION_MS) this.#pruneWriters();
    return true;
  }

  /** Finds the last applied sequence number of a writer; 0 if there is none. */
  findSequence(writer: string): number {
    return this.#writers.get(writer)?.sequence ?? 0;
  }

  /** Returns the data as a plain JSON value in a fixed order. */
  toSnapshot(): FleetSnapshot {
    return structuredClone(this.#buildSnapshot());
  }

  /** Serializes a snapshot, taken at the time of the call, as JSON text in slices. */
  toSlices(): Generator<string> {
    return splitSnapshot(this.#buildSnapshot());
  }

  #buildSnapshot(): FleetSnapshot {
    return {
      nextOffset: this.nextOffset,
      time: this.time,
      revision: this.revision,
      dataCentres: sortValues(this.configuration.dataCentre),
      hosts: sortValues(this.configuration.host),
      pools: sortValues(this.configuration.pool),
      services: sortValues(this.configuration.service),
      teams: sortValues(this.configuration.team),
      removed: sortEntries(this.configuration.removed),
      hostStates: sortEntries(this.hostStates),
      demands: sortEntries(this.demands),
      sessions: sortValues(this.sessions),
      endedSessions: this.endedSessions,
      claimLeases: sortEntries(this.claimLeases),
      dataCentreSets: this.dataCentreSets,
      views: sortEntries(this.views),
      writers: sortEntries(this.#writers),
      pendingChanges: sortEntries(this.pendingChanges),
    };
  }

  #pruneWriters(): void {
    this.#writersPrunedAt = this.time;
    [...this.#writers].forEach(([name, writer]) => {
      if (this.time - writer.time > WRITER_RETENTION_MS) this.#writers.delete(name);
    });
  }
}
