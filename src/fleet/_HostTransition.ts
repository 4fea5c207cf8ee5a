import { hasResources, type Host, type HostPhase, type HostState } from '../host/mod.js';
import type { LoggedRecord, RecordBody } from '../record/mod.js';
import { checkBudget, checkLoan, checkNeed, checkPartition } from './_checkHostChange.js';
import type { FleetData } from './_FleetData.js';
import type { SessionState } from './FleetSnapshot.js';

/** A record body that decides on phase changes of hosts. */
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
 * Applies one decision to its hosts, one after the other.
 *
 * Each change is made first and then checked against the updated counters, so that the same rule
 * holds for the first and the last host of a record. If a rule fails, the change is reverted and
 * the reason is returned.
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

  /** Applies the decision to one host; returns the reason if it is rejected. */
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
        if (state.status !== 'live') return `host "${name}" is ${state.status}, not live yet`;
        return this.#changeState(name, state, {
          phase: 'serving',
          maintainedAt: this.#record.time,
        });
      default:
        if (state.phase !== 'granted') return this.#describePhase(name, state);
        return this.#changeState(name, state, { phase: 'serving', wave: undefined });
    }
  }

  #assign(host: Host, state: HostState, pool: string | undefined): string | undefined {
    const { name } = host;
    if (state.phase === 'releasing' && pool !== undefined && pool === state.pool) {
      const owner = state.owner === state.pool ? undefined : state.owner;
      return this.#changeState(name, state, { phase: 'serving', owner });
    }
    if (state.phase === 'releasing') {
      if (pool !== state.toPool)
        return `host "${name}" is draining for ${state.toPool ?? 'no pool'}`;
      const waiting = this.#explainUndrained(host);
      if (waiting !== undefined) return waiting;
    } else if (state.phase !== 'unassigned' || pool === undefined) {
      return this.#describePhase(name, state);
    }
    const partition = checkPartition(this.#data, host);
    if (partition !== undefined) return partition;
    if (pool === undefined) {
      return this.#changeState(name, state, { phase: 'unassigned', pool, owner: undefined });
    }
    const rules = this.#data.configuration.pool.get(pool)?.object;
    if (rules === undefined) return `unknown pool "${pool}"`;
    if (!hasResources(host, rules.requires))
      return `host "${name}" lacks resources required by pool "${pool}"`;
    const owner = state.owner === pool ? undefined : state.owner;
    return this.#changeState(name, state, { phase: 'serving', pool, owner });
  }

  #release(
    host: Host,
    state: HostState,
    { toPool, fromPool, isLoan }: { toPool?: string; fromPool?: string; isLoan?: true },
  ): string | undefined {
    const { name } = host;
    if (fromPool !== undefined && fromPool !== state.pool) {
      return `host "${name}" is not in pool "${fromPool}"`;
    }
    // A host that did not come back from maintenance can be released directly from that phase.
    const isLost = state.phase === 'maintenance' && state.status !== 'live';
    if (state.phase !== 'serving' && !isLost) return this.#describePhase(name, state);
    if (toPool === state.pool) return `host "${name}" is already in pool "${toPool}"`;
    const target = toPool === undefined ? undefined : this.#data.configuration.pool.get(toPool);
    if (toPool !== undefined && target === undefined) return `unknown pool "${toPool}"`;
    if (target !== undefined && !hasResources(host, target.object.requires)) {
      return `host "${name}" lacks resources required by pool "${toPool}"`;
    }
    const partition = checkPartition(this.#data, host);
    if (partition !== undefined) return partition;
    if (isLoan && (state.owner !== undefined || toPool === undefined)) {
      return `host "${name}" cannot be lent`;
    }
    // The owner gives up a borrowed host that is released to anywhere but back to the owner.
    const owner = isLoan ? state.pool : state.owner;
    const keepsOwner = isLoan || toPool === state.owner;
    this.#changeState(name, state, {
      phase: 'releasing',
      toPool,
      wave: undefined,
      owner: keepsOwner ? owner : undefined,
    });
    const reason =
      this.#checkRule(name, state, checkBudget) ?? this.#checkRule(name, state, checkNeed);
    return reason ?? (isLoan && this.#checkRule(name, state, checkLoan)) ?? undefined;
  }

  #grant(name: string, state: HostState): string | undefined {
    if (state.phase !== 'serving') return this.#describePhase(name, state);
    const wave = this.#body.type === 'maintenance-grant' ? this.#body.wave : '';
    // A grant that was delayed in its writer must not repeat a completed maintenance.
    if (wave !== '' && wave === state.wave)
      return `host "${name}" is already maintained in wave "${wave}"`;
    this.#changeState(name, state, { phase: 'granted', wave });
    return this.#checkRule(name, state, checkBudget);
  }

  #start(host: Host, state: HostState): string | undefined {
    if (state.phase !== 'granted') return this.#describePhase(host.name, state);
    const waiting = this.#explainUndrained(host);
    if (waiting !== undefined) return waiting;
    this.#changeState(host.name, state, { phase: 'maintenance' });
    return this.#checkRule(host.name, state, checkBudget);
  }

  /** Checks a rule after a change and reverts the change if the rule does not hold. */
  #checkRule(name: string, before: HostState, rule: typeof checkBudget): string | undefined {
    const pool = this.#data.configuration.pool.get(before.pool ?? '')?.object;
    if (pool === undefined) return undefined;
    const reason = rule(this.#data, pool, before);
    if (reason !== undefined) this.#data.setHostState(name, before);
    return reason === undefined ? undefined : `host "${name}": ${reason}`;
  }

  #explainUndrained({ name, dataCentre }: Host): string | undefined {
    this.#gateways ??= listGateways(this.#data);
    const gateways = this.#gateways.get(dataCentre) ?? [];
    return this.#data.isDrained(name, gateways) ? undefined : `host "${name}" is not drained`;
  }

  #describePhase(name: string, { phase, pool }: HostState): string {
    const where = pool === undefined ? '' : ` in pool "${pool}"`;
    return `${this.#body.type} is not possible for host "${name}", which is ${phase}${where}`;
  }

  #changeState(
    name: string,
    state: HostState,
    change: Partial<HostState> & { phase: HostPhase },
  ): undefined {
    const { toPool, ...rest } = state;
    const next: HostState = { ...rest, ...change, phaseSince: this.#record.time };
    const isDraining = change.phase === 'granted' || change.phase === 'releasing';
    if (isDraining && state.phase === 'serving') next.drainOffset = this.#record.offset;
    if (!isDraining && change.phase !== 'maintenance') next.drainedBy = [];
    this.#data.setHostState(name, next);
  }
}
