import { sortHostStateFields, type Host, type HostState } from '../host/mod.js';
import type { ObjectKind } from '../record/mod.js';
import { Configuration, type Configured } from './_Configuration.js';
import { FleetIndex } from './_FleetIndex.js';
import type {
  DataCentreSet,
  EndedSession,
  FleetSnapshot,
  PendingChange,
  SessionState,
} from './FleetSnapshot.js';
import { splitSnapshot } from './_splitSnapshot.js';

/** A writer that was silent for this long is forgotten; it has long ended. */
const WRITER_MEMORY_MS = 24 * 3_600_000;
/** A change whose last part has not come by then was given up by its writer. */
const PENDING_CHANGE_MS = 3_600_000;

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

/** The mutable data of the fold; only the `_apply` modules change it. */
export class FleetData {
  nextOffset = 0;

  time = 0;

  revision = 0;

  readonly configuration: Configuration;

  /** States are replaced, never changed in place, so that copies of the map stay valid. */
  readonly hostStates: Map<string, HostState>;

  /** Hosts above its rules that a lasting overload asks for, by pool; never 0. */
  readonly demands = new Map<string, number>();

  readonly sessions = new Map<string, SessionState>();

  endedSessions: EndedSession[] = [];

  readonly claimLeases = new Map<string, number>();

  readonly dataCentreSets: DataCentreSet[] = [];

  readonly views = new Map<string, number>();

  readonly pendingChanges = new Map<string, PendingChange>();

  /** Counters over `hostStates`; `changeHost` keeps them in step. */
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

  /** Builds the data from a snapshot, which must not be used afterwards. */
  static fromSnapshot(copy: FleetSnapshot): FleetData {
    const data = new FleetData();
    data.nextOffset = copy.nextOffset;
    data.time = copy.time;
    data.revision = copy.revision;
    data.configuration.restore('dataCentre', copy.dataCentres);
    data.configuration.restore('host', copy.hosts);
    data.configuration.restore('pool', copy.pools);
    data.configuration.restore('service', copy.services);
    data.configuration.restore('team', copy.teams);
    Object.entries(copy.removed).forEach(([key, at]) => data.configuration.removed.set(key, at));
    Object.entries(copy.hostStates).forEach(([name, state]) => data.hostStates.set(name, state));
    Object.entries(copy.demands).forEach(([pool, extra]) => data.demands.set(pool, extra));
    copy.sessions.forEach((session) => data.sessions.set(session.session, session));
    data.endedSessions = copy.endedSessions;
    Object.entries(copy.claimLeases).forEach(([name, until]) => data.claimLeases.set(name, until));
    data.dataCentreSets.push(...copy.dataCentreSets);
    Object.entries(copy.views).forEach(([name, view]) => data.views.set(name, view));
    Object.entries(copy.writers).forEach(([name, writer]) => data.#writers.set(name, writer));
    Object.entries(copy.pendingChanges).forEach(([id, pending]) =>
      data.pendingChanges.set(id, pending),
    );
    data.hostStates.forEach((state, name) => {
      const host = data.configuration.host.get(name)?.object;
      if (host !== undefined) data.index.add(host, state);
    });
    return data;
  }

  /** Copies what decisions about hosts depend on, for a plan to try them on. */
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

  /** Replaces the state of a configured host, or removes it, and updates the counters. */
  changeHost(name: string, after: HostState | undefined): void {
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

  /** Whether every open gateway session of its data centre has reported a host drained. */
  isDrained(name: string, gateways: readonly SessionState[]): boolean {
    const drainedBy = this.hostStates.get(name)?.drainedBy ?? [];
    return gateways.every(({ session }) => drainedBy.includes(session));
  }

  /** Lists the open sessions of a role in the order of their ids. */
  listSessions(role: SessionState['role']): SessionState[] {
    return sortValues(this.sessions).filter((session) => session.role === role);
  }

  /**
   * Lists the hosts of a data centre in the order of their names. Only they are sorted, since gateways
   * ask after each batch of records.
   */
  listHosts(dataCentre: string): Host[] {
    const hosts: Host[] = [];
    this.configuration.host.forEach(({ object }) => {
      if (object.dataCentre === dataCentre) hosts.push(object);
    });
    return hosts.sort((a, b) => compareNames([a.name, a], [b.name, b]));
  }

  /** Lists configured objects of a kind in the order of their names. */
  listObjects<Kind extends ObjectKind>(
    kind: Kind,
  ): (Configuration[Kind] extends Map<string, Configured<infer T>> ? T : never)[] {
    const objects = this.configuration[kind] as Map<string, Configured<never>>;
    return sortValues(objects).map((entry) => entry.object);
  }

  /** Moves platform time on and drops what has expired by then; time never goes back. */
  increaseTime(time: number): void {
    this.time = Math.max(this.time, time);
    this.pendingChanges.forEach((pending, changeId) => {
      if (this.time - pending.time > PENDING_CHANGE_MS) this.pendingChanges.delete(changeId);
    });
  }

  /** Takes note of a writer's sequence; false if it was folded before. */
  claimSequence(writer: string, sequence: number): boolean {
    const last = this.#writers.get(writer)?.sequence ?? 0;
    if (sequence <= last) return false;
    this.#writers.set(writer, { sequence, time: this.time });
    if (this.time - this.#writersPrunedAt > WRITER_MEMORY_MS) this.#pruneWriters();
    return true;
  }

  /** Finds the last sequence folded of a writer; 0 for none. */
  findSequence(writer: string): number {
    return this.#writers.get(writer)?.sequence ?? 0;
  }

  /** Writes the data as plain JSON in a fixed order. */
  toSnapshot(): FleetSnapshot {
    return structuredClone(this.#describe());
  }

  /** Writes the snapshot as JSON text in slices, of the state at the time of the call. */
  toSlices(): Generator<string> {
    return splitSnapshot(this.#describe());
  }

  #describe(): FleetSnapshot {
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
      if (this.time - writer.time > WRITER_MEMORY_MS) this.#writers.delete(name);
    });
  }
}
