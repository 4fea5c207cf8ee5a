import type { LoggedRecord, RecordBody } from '../record/mod.js';
import type { FleetData } from './_FleetData.js';

/**
 * Finds the record that led to a decision: a change of the rules or the inventory, a failure, or the
 * release or grant that the decision continues.
 */
export class RecordCauses {
  /** Offset of the last observation that took a member of a pool out of service, by pool. */
  readonly #losses = new Map<string, number>();

  /** Notes a record that is about to be folded. */
  add(data: Readonly<FleetData>, { offset, body }: LoggedRecord): void {
    if (body.type !== 'host-observed') return;
    body.observations.forEach(({ host, status }) => {
      const state = data.hostStates.get(host);
      if (state?.pool === undefined || status === 'live' || state.status === status) return;
      this.#losses.set(state.pool, offset);
    });
  }

  /** Finds the offset of the cause of a decision that is about to be folded. */
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
        // The terms of the pool made the host due.
        return RecordCauses.#findChange(data, 'pool', pool);
      case 'maintenance-withdraw':
        return this.#losses.get(pool);
      default:
        return state.drainOffset;
    }
  }

  /** Finds why a pool gets a host: it lacks hosts by its rules, or it has lost some. */
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

  /** Finds the offset of the change that last put an object; a revision is the offset after it. */
  static #findChange(
    data: Readonly<FleetData>,
    kind: 'pool' | 'host',
    name: string,
  ): number | undefined {
    const revision = data.configuration.findRevision(kind, name);
    return revision === 0 ? undefined : revision - 1;
  }
}
