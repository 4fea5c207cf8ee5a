import type { ObjectKind, Operation } from '../record/mod.js';
import type { DataCentre } from '../dataCentre/mod.js';
import { toAddressKey, type Host } from '../host/mod.js';
import type { Pool } from '../pool/mod.js';
import type { Service } from '../service/mod.js';
import type { Team } from '../team/mod.js';

/** A configured object with the revision at which it last changed. */
export interface ConfiguredObject<T> {
  object: T;
  revision: number;
}

/** The objects configured by operators, by kind and name. */
export class Configuration {
  readonly dataCentre = new Map<string, ConfiguredObject<DataCentre>>();

  readonly host = new Map<string, ConfiguredObject<Host>>();

  readonly pool = new Map<string, ConfiguredObject<Pool>>();

  readonly service = new Map<string, ConfiguredObject<Service>>();

  readonly team = new Map<string, ConfiguredObject<Team>>();

  /** Revisions of removals by `kind/name`, to detect changes that conflict with a removal. */
  readonly removed = new Map<string, number>();

  /** Names of hosts by address; two hosts with one address would be one process in two pools. */
  readonly #hostsByAddress = new Map<string, string>();

  /** Copies the maps. The objects in them are shared, since they are never modified in place. */
  copy(): Configuration {
    const copy = new Configuration();
    (['dataCentre', 'host', 'pool', 'service', 'team'] as const).forEach((kind) => {
      const target = copy[kind] as Map<string, unknown>;
      this[kind].forEach((entry, name) => target.set(name, entry));
    });
    this.#hostsByAddress.forEach((name, address) => copy.#hostsByAddress.set(address, name));
    return copy;
  }

  /** Finds the name of the host with the given address. */
  findHostAt(address: string): string | undefined {
    return this.#hostsByAddress.get(toAddressKey(address));
  }

  /** Adds objects of a kind with their revisions from a snapshot. */
  restore<T extends { name: string }>(kind: ObjectKind, entries: ConfiguredObject<T>[]): void {
    const objects = this[kind] as unknown as Map<string, ConfiguredObject<T>>;
    entries.forEach((entry) => objects.set(entry.object.name, entry));
    if (kind !== 'host') return;
    this.host.forEach(({ object }, name) =>
      this.#hostsByAddress.set(toAddressKey(object.address), name),
    );
  }

  /** Finds the revision at which an object last changed or was removed; 0 if there is none. */
  findRevision(kind: ObjectKind, name: string): number {
    const entry: ConfiguredObject<unknown> | undefined = this[kind].get(name);
    return entry?.revision ?? this.removed.get(`${kind}/${name}`) ?? 0;
  }

  /** Applies one operation at a revision. */
  apply(operation: Operation, revision: number): void {
    const name = operation.action === 'remove' ? operation.name : operation.object.name;
    if (operation.kind === 'host') this.#removeAddress(name);
    if (operation.action === 'remove') {
      this[operation.kind].delete(operation.name);
      this.removed.set(`${operation.kind}/${operation.name}`, revision);
      return;
    }
    const objects = this[operation.kind] as Map<string, ConfiguredObject<unknown>>;
    objects.set(operation.object.name, { object: operation.object, revision });
    this.removed.delete(`${operation.kind}/${operation.object.name}`);
    if (operation.kind !== 'host') return;
    this.#hostsByAddress.set(toAddressKey(operation.object.address), name);
  }

  /** Removes a host's address, unless another host of the same change has already taken it. */
  #removeAddress(name: string): void {
    const address = this.host.get(name)?.object.address;
    if (address === undefined || this.findHostAt(address) !== name) return;
    this.#hostsByAddress.delete(toAddressKey(address));
  }
}
