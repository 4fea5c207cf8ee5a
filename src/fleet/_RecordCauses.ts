import type { LoggedRecord, RecordBody } from '../record/mod.js';
import type { FleetData } from './_FleetData.js';

/**
 * Finds the record that caused a decision: a change of the rules or the inventory, a host failure,
 * or the release or grant that the decision follows up.
 */
export class RecordCauses {
  /** Offset of the last observation that a member of a pool is no longer live, by pool. */
  readonly #losses = new Map<string, number>();

  /** Tracks a record that is about to be applied. */
  add(data: Readonly<FleetData>, { offset, body }: LoggedRecord): void {
    if (body.type !== 'host-observed') return;
    body.observations.forEach(({ host, status }) => {
      const state = data.hostStates.get(host);
      if (state?.pool === undefined || status === 'live' || state.status === status) return;
      this.#losses.set(state.pool, offset);
    });
  }

  /** Finds the offset of the record that caused a decision that is about to be applied. */
  find(data: Readonly<FleetData>, body: RecordBody): number | undefined {
    if (!('hosts' in body) || body.type === 'host-drained') return undefined;
    const [name = ''] = body.hosts;
    const state = data.hostStates.get(name);
    if (state === undefined) return undefined;
    const { pool = '' } = state;
    switch (body.type) {
      case 'host-assign':
        if (state.phase !== 'releasing') return this.#findDemand(data, body.pool ?? '', name);
        return body.pool === pool ? this.#losses.get(pool) : state.drainOffset;
      case 'host-release':
        if (body.toPool === undefined) return this.#losses.get(pool);
        return this.#findDemand(data, body.toPool, name);
      case 'maintenance-grant':
        // The host is due because of the maintenance terms of its pool.
        return RecordCauses.#findChange(data, 'pool', pool);
      case 'maintenance-withdraw':
        return this.#losses.get(pool);
      default:
        return state.drainOffset;
    }
  }

  /** Finds why a pool is given a host: its rules require more hosts, or it has lost some. */
  #findDemand(data: Readonly<FleetData>, name: string, host: string): number | undefined {
    const pool = data.configuration.pool.get(name)?.object;
    if (pool === undefined) return undefined;
    const { members, releasing, incoming } = data.index.getLedger(name);
    const isShort = pool.need + pool.headroom > members - releasing + incoming;
    if (!isShort) return this.#losses.get(name);
    const changes = [
      RecordCauses.#findChange(data, 'pool', name),
      RecordCauses.#findChange(data, 'host', host),
    ].filter((one) => one !== undefined);
    return changes.length === 0 ? undefined : Math.max(...changes);
  }

  /** Finds the offset of the last change of an object. A revision is that offset plus 1. */
  static #findChange(
    data: Readonly<FleetData>,
    kind: 'pool' | 'host',
    name: string,
  ): number | undefined {
    const revision = data.configuration.findRevision(kind, name);
    return revision === 0 ? undefined : revision - 1;
  }
}
