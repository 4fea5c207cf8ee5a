import { hasResources, type Host, type HostPhase, type HostState } from '../host/mod.js';
import type { LoggedRecord, RecordBody } from '../record/mod.js';
import { checkBudget, checkNeed, checkPartition } from './_checkHostChange.js';
import type { FleetData } from './_FleetData.js';
import type { SessionState } from './FleetSnapshot.js';

/** A record that decides about hosts. */
export type HostDecision = Extract<
  RecordBody,
  {
    type:
      | 'host-assign'
      | 'host-release'
      | 'maintenance-grant'
      | 'maintenance-start'
      | 'maintenance-end'
      | 'maintenance-withdraw';
  }
>;

function listGateways(data: FleetData): Map<string, SessionState[]> {
  const gateways = new Map<string, SessionState[]>();
  data.sessions.forEach((session) => {
    if (session.role !== 'gateway') return;
    const known = gateways.get(session.dataCentre);
    if (known) known.push(session);
    else gateways.set(session.dataCentre, [session]);
  });
  return gateways;
}

/**
 * Carries out one decision on its hosts, one after the other.
 *
 * Each change is made first and checked on the updated counters, so that the rule is the same for
 * the first and the last host of a record. A change that returns a reason has been taken back.
 */
export class HostTransition {
  readonly #data: FleetData;

  readonly #record: LoggedRecord;

  readonly #body: HostDecision;

  #gateways: Map<string, SessionState[]> | undefined;

  constructor(data: FleetData, record: LoggedRecord, body: HostDecision) {
    this.#data = data;
    this.#record = record;
    this.#body = body;
  }

  /** Changes one host; returns the reason when it must not change. */
  apply(name: string): string | undefined {
    const state = this.#data.hostStates.get(name);
    const host = this.#data.configuration.host.get(name)?.object;
    if (state === undefined || host === undefined) return `unknown host "${name}"`;
    switch (this.#body.type) {
      case 'host-assign':
        return this.#assign(host, state, this.#body.pool);
      case 'host-release':
        return this.#release(host, state, this.#body);
      case 'maintenance-grant':
        return this.#grant(name, state);
      case 'maintenance-start':
        return this.#start(host, state);
      case 'maintenance-end':
        if (state.phase !== 'maintenance') return this.#describePhase(name, state);
        if (state.status !== 'live') return `host "${name}" is ${state.status}, not back yet`;
        return this.#put(name, state, { phase: 'serving', maintainedAt: this.#record.time });
      default:
        if (state.phase !== 'granted') return this.#describePhase(name, state);
        return this.#put(name, state, { phase: 'serving', wave: undefined });
    }
  }

  #assign(host: Host, state: HostState, pool: string | undefined): string | undefined {
    const { name } = host;
    if (state.phase === 'releasing' && pool !== undefined && pool === state.pool) {
      return this.#put(name, state, { phase: 'serving' });
    }
    if (state.phase === 'releasing') {
      if (pool !== state.toPool) return `host "${name}" drains for ${state.toPool ?? 'no pool'}`;
      const waiting = this.#explainDrain(host);
      if (waiting !== undefined) return waiting;
    } else if (state.phase !== 'unassigned' || pool === undefined) {
      return this.#describePhase(name, state);
    }
    const partition = checkPartition(this.#data, host);
    if (partition !== undefined) return partition;
    if (pool === undefined) return this.#put(name, state, { phase: 'unassigned', pool });
    const rules = this.#data.configuration.pool.get(pool)?.object;
    if (rules === undefined) return `unknown pool "${pool}"`;
    if (!hasResources(host, rules.requires)) return `host "${name}" is too small for "${pool}"`;
    return this.#put(name, state, { phase: 'serving', pool });
  }

  #release(
    host: Host,
    state: HostState,
    { toPool, fromPool }: { toPool?: string; fromPool?: string },
  ): string | undefined {
    const { name } = host;
    if (fromPool !== undefined && fromPool !== state.pool) {
      return `host "${name}" is not in pool "${fromPool}"`;
    }
    // A host that never came back from its maintenance is taken out of its pool from there.
    const isLost = state.phase === 'maintenance' && state.status !== 'live';
    if (state.phase !== 'serving' && !isLost) return this.#describePhase(name, state);
    if (toPool === state.pool) return `host "${name}" is in pool "${toPool}" already`;
    const target = toPool === undefined ? undefined : this.#data.configuration.pool.get(toPool);
    if (toPool !== undefined && target === undefined) return `unknown pool "${toPool}"`;
    if (target !== undefined && !hasResources(host, target.object.requires)) {
      return `host "${name}" is too small for "${toPool}"`;
    }
    const partition = checkPartition(this.#data, host);
    if (partition !== undefined) return partition;
    this.#put(name, state, { phase: 'releasing', toPool, wave: undefined });
    return this.#check(name, state, checkBudget) ?? this.#check(name, state, checkNeed);
  }

  #grant(name: string, state: HostState): string | undefined {
    if (state.phase !== 'serving') return this.#describePhase(name, state);
    const wave = this.#body.type === 'maintenance-grant' ? this.#body.wave : '';
    // A grant that was delayed in a writer must not repeat a maintenance that is done.
    if (wave !== '' && wave === state.wave) return `host "${name}" is done in wave "${wave}"`;
    this.#put(name, state, { phase: 'granted', wave });
    return this.#check(name, state, checkBudget);
  }

  #start(host: Host, state: HostState): string | undefined {
    if (state.phase !== 'granted') return this.#describePhase(host.name, state);
    const waiting = this.#explainDrain(host);
    if (waiting !== undefined) return waiting;
    this.#put(host.name, state, { phase: 'maintenance' });
    return this.#check(host.name, state, checkBudget);
  }

  /** Checks a rule after the change and takes the change back when the rule does not hold. */
  #check(name: string, before: HostState, rule: typeof checkBudget): string | undefined {
    const pool = this.#data.configuration.pool.get(before.pool ?? '')?.object;
    if (pool === undefined) return undefined;
    const reason = rule(this.#data, pool, before);
    if (reason !== undefined) this.#data.changeHost(name, before);
    return reason === undefined ? undefined : `host "${name}": ${reason}`;
  }

  #explainDrain({ name, dataCentre }: Host): string | undefined {
    this.#gateways ??= listGateways(this.#data);
    const gateways = this.#gateways.get(dataCentre) ?? [];
    return this.#data.isDrained(name, gateways) ? undefined : `host "${name}" is not drained`;
  }

  #describePhase(name: string, { phase, pool }: HostState): string {
    const where = pool === undefined ? '' : ` in pool "${pool}"`;
    return `${this.#body.type} of host "${name}", which is ${phase}${where}`;
  }

  #put(
    name: string,
    state: HostState,
    change: Partial<HostState> & { phase: HostPhase },
  ): undefined {
    const { toPool, ...rest } = state;
    const next: HostState = { ...rest, ...change, phaseSince: this.#record.time };
    const isDraining = change.phase === 'granted' || change.phase === 'releasing';
    if (isDraining && state.phase === 'serving') next.drainOffset = this.#record.offset;
    if (!isDraining && change.phase !== 'maintenance') next.drainedBy = [];
    // Snapshots are compared as JSON, so an absent field must not be an undefined one.
    (['pool', 'toPool', 'wave'] as const).forEach((key) => {
      if (next[key] === undefined) delete next[key];
    });
    this.#data.changeHost(name, next);
  }
}
