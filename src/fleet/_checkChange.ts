import type { Finding } from '../finding/mod.js';
import type { Host } from '../host/mod.js';
import type { Pool } from '../pool/mod.js';
import type { ObjectKind, Operation } from '../record/mod.js';
import type { FleetData } from './_FleetData.js';

/**
 * Checks the configuration as it would be after a change, in the time of its operations.
 *
 * The configuration before the change has no findings, so only the objects that the change touches
 * and the references to what it removes are checked; counters stand in for a pass over the fleet.
 */
class ChangeCheck {
  readonly #data: FleetData;

  /** The operation on each object, by `kind/name`. */
  readonly #last = new Map<string, Operation>();

  readonly #findings: Finding[] = [];

  constructor(data: FleetData, operations: readonly Operation[]) {
    this.#data = data;
    operations.forEach((operation) => {
      const name = operation.action === 'put' ? operation.object.name : operation.name;
      const key = `${operation.kind}/${name}`;
      // Removing and putting a host in one change would make it unassigned without a drain.
      if (this.#last.has(key)) this.#add(key, 'is changed twice in one change');
      this.#last.set(key, operation);
    });
  }

  run(): Finding[] {
    this.#last.forEach((operation) => {
      if (operation.action === 'remove') this.#checkRemoval(operation);
      else if (operation.kind === 'host') this.#checkHost(operation.object);
      else if (operation.kind === 'pool') this.#checkPool(operation.object);
      else if (operation.kind === 'service') {
        const { name, pool } = operation.object;
        if (!this.#has('pool', pool)) this.#add(`services.${name}.pool`, `unknown pool "${pool}"`);
      }
    });
    return this.#findings;
  }

  #add(path: string, message: string): void {
    this.#findings.push({ severity: 'error', message, place: { path } });
  }

  #has(kind: ObjectKind, name: string): boolean {
    const operation = this.#last.get(`${kind}/${name}`);
    if (operation !== undefined) return operation.action === 'put';
    return this.#data.configuration[kind].has(name);
  }

  #checkHost({ name, dataCentre }: Host): void {
    if (!this.#has('dataCentre', dataCentre)) {
      this.#add(`hosts.${name}.dataCentre`, `unknown data centre "${dataCentre}"`);
    }
    const before = this.#data.configuration.host.get(name)?.object;
    const state = this.#data.hostStates.get(name);
    if (before === undefined || before.dataCentre === dataCentre) return;
    // The sessions of the old data centre may still send to it.
    if (state !== undefined && state.phase !== 'unassigned') {
      this.#add(`hosts.${name}.dataCentre`, `cannot change while the host is ${state.phase}`);
    }
  }

  #checkPool({ name, need, headroom, availabilityBudget }: Pool): void {
    if (availabilityBudget <= need + headroom) return;
    this.#add(
      `pools.${name}.availabilityBudget`,
      `${availabilityBudget} is above need + headroom = ${need + headroom}`,
    );
  }

  #checkRemoval({ kind, name }: Extract<Operation, { action: 'remove' }>): void {
    if (kind === 'host') {
      const state = this.#data.hostStates.get(name);
      if (state === undefined || state.phase === 'unassigned') return;
      this.#add(
        `hosts.${name}`,
        `is ${state.phase} in pool "${state.pool}"; release it before it is removed`,
      );
    } else if (kind === 'dataCentre') this.#checkDataCentreRemoval(name);
    else if (kind === 'pool') this.#checkPoolRemoval(name);
  }

  #checkDataCentreRemoval(name: string): void {
    let hosts = this.#data.index.countHosts(name);
    this.#last.forEach((operation) => {
      if (operation.kind !== 'host') return;
      const host = operation.action === 'put' ? operation.object.name : operation.name;
      // Hosts that the change puts into the data centre are reported by `#checkHost`.
      if (this.#data.configuration.host.get(host)?.object.dataCentre === name) hosts -= 1;
    });
    if (hosts > 0) this.#add(`dataCentres.${name}`, `still has ${hosts} hosts`);
  }

  #checkPoolRemoval(name: string): void {
    const { members, incoming } = this.#data.index.getLedger(name);
    if (members > 0) this.#add(`pools.${name}`, `still has ${members} hosts; release them first`);
    if (incoming > 0) this.#add(`pools.${name}`, `${incoming} hosts are on their way to it`);
    this.#data.configuration.service.forEach(({ object }, service) => {
      if (object.pool !== name || this.#last.has(`service/${service}`)) return;
      this.#add(`services.${service}.pool`, `unknown pool "${name}"`);
    });
  }
}

/** Lists what would be wrong after a change. */
export function checkChange(data: FleetData, operations: readonly Operation[]): Finding[] {
  return new ChangeCheck(data, operations).run();
}
