import type { Finding } from '../finding/mod.js';
import { toAddressKey, type Host } from '../host/mod.js';
import type { Pool } from '../pool/mod.js';
import type { ObjectKind, Operation } from '../record/mod.js';
import type { FleetData } from './_FleetData.js';

/**
 * Validates the configuration that would result from a change, in time proportional to the number
 * of its operations.
 *
 * The configuration before the change has no findings. It is therefore enough to check the changed
 * objects and the references to removed objects, using counters instead of a pass over the fleet.
 */
class ChangeValidator {
  readonly #data: FleetData;

  /** The operation on each object, by `kind/name`. */
  readonly #operations = new Map<string, Operation>();

  readonly #findings: Finding[] = [];

  /** Hosts added or replaced by the change, by address. */
  readonly #newAddresses = new Map<string, string>();

  constructor(data: FleetData, operations: readonly Operation[]) {
    this.#data = data;
    operations.forEach((operation) => {
      const name = operation.action === 'put' ? operation.object.name : operation.name;
      const key = `${operation.kind}/${name}`;
      // Removing and adding a host in one change would make it unassigned without draining it.
      if (this.#operations.has(key)) this.#report(key, 'occurs twice in one change');
      this.#operations.set(key, operation);
    });
  }

  run(): Finding[] {
    this.#operations.forEach((operation) => {
      if (operation.action === 'remove') this.#checkRemoval(operation);
      else if (operation.kind === 'host') this.#checkHost(operation.object);
      else if (operation.kind === 'pool') this.#checkPool(operation.object);
      else if (operation.kind === 'service') {
        const { name, pool } = operation.object;
        if (!this.#has('pool', pool))
          this.#report(`services.${name}.pool`, `unknown pool "${pool}"`);
      }
    });
    return this.#findings;
  }

  #report(path: string, message: string): void {
    this.#findings.push({ severity: 'error', message, place: { path } });
  }

  #has(kind: ObjectKind, name: string): boolean {
    const operation = this.#operations.get(`${kind}/${name}`);
    if (operation !== undefined) return operation.action === 'put';
    return this.#data.configuration[kind].has(name);
  }

  #checkHost({ name, dataCentre, address }: Host): void {
    this.#checkAddress(name, address);
    if (!this.#has('dataCentre', dataCentre)) {
      this.#report(`hosts.${name}.dataCentre`, `unknown data centre "${dataCentre}"`);
    }
    const before = this.#data.configuration.host.get(name)?.object;
    const state = this.#data.hostStates.get(name);
    if (before === undefined || state === undefined || state.phase === 'unassigned') return;
    // Sessions of the old data centre may still send to the host, and sessions with an older state
    // may send to the old address, which another host may be given.
    const message = `cannot change while the host is ${state.phase}`;
    if (before.dataCentre !== dataCentre) this.#report(`hosts.${name}.dataCentre`, message);
    if (toAddressKey(before.address) === toAddressKey(address)) return;
    this.#report(`hosts.${name}.address`, message);
  }

  /** Two hosts with the same address are one process, which could serve two pools at once. */
  #checkAddress(name: string, address: string): void {
    const key = toAddressKey(address);
    const holder = this.#data.configuration.findHostAt(address);
    const isKept = holder !== undefined && !this.#operations.has(`host/${holder}`);
    const other = this.#newAddresses.get(key) ?? (isKept ? holder : undefined);
    if (other !== undefined && other !== name) {
      this.#report(`hosts.${name}.address`, `"${address}" is the address of host "${other}"`);
    }
    this.#newAddresses.set(key, name);
  }

  #checkPool({ name, need, headroom, availabilityBudget }: Pool): void {
    if (availabilityBudget <= need + headroom) return;
    this.#report(
      `pools.${name}.availabilityBudget`,
      `${availabilityBudget} is above need + headroom = ${need + headroom}`,
    );
  }

  #checkRemoval({ kind, name }: Extract<Operation, { action: 'remove' }>): void {
    if (kind === 'host') {
      const state = this.#data.hostStates.get(name);
      if (state === undefined || state.phase === 'unassigned') return;
      this.#report(
        `hosts.${name}`,
        `is ${state.phase} in pool "${state.pool}"; release it before removing it`,
      );
    } else if (kind === 'dataCentre') this.#checkDataCentreRemoval(name);
    else if (kind === 'pool') this.#checkPoolRemoval(name);
  }

  #checkDataCentreRemoval(name: string): void {
    let hosts = this.#data.index.countHosts(name);
    this.#operations.forEach((operation) => {
      if (operation.kind !== 'host') return;
      const host = operation.action === 'put' ? operation.object.name : operation.name;
      // Hosts that the change adds to the data centre are reported by `#checkHost`.
      if (this.#data.configuration.host.get(host)?.object.dataCentre === name) hosts -= 1;
    });
    if (hosts > 0) this.#report(`dataCentres.${name}`, `still has ${hosts} hosts`);
  }

  #checkPoolRemoval(name: string): void {
    const { members, incoming } = this.#data.index.getLedger(name);
    if (members > 0)
      this.#report(`pools.${name}`, `still has ${members} hosts; release them first`);
    if (incoming > 0) this.#report(`pools.${name}`, `${incoming} hosts are moving to it`);
    this.#data.configuration.service.forEach(({ object }, service) => {
      if (object.pool !== name || this.#operations.has(`service/${service}`)) return;
      this.#report(`services.${service}.pool`, `unknown pool "${name}"`);
    });
  }
}

/** Lists the findings on the configuration that would result from a change. */
export function checkChange(data: FleetData, operations: readonly Operation[]): Finding[] {
  return new ChangeValidator(data, operations).run();
}
