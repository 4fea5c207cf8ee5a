import type { ObjectKind, Operation } from '../record/mod.js';
import type { DataCentre } from '../dataCentre/mod.js';
import type { Host } from '../host/mod.js';
import type { Pool } from '../pool/mod.js';
import type { Service } from '../service/mod.js';
import type { Team } from '../team/mod.js';

/** A configured object with the revision at which it last changed. */
export interface Configured<T> {
  object: T;
  revision: number;
}

/** The objects that operators have loaded, by kind and name. */
export class Configuration {
  readonly dataCentre = new Map<string, Configured<DataCentre>>();

  readonly host = new Map<string, Configured<Host>>();

  readonly pool = new Map<string, Configured<Pool>>();

  readonly service = new Map<string, Configured<Service>>();

  readonly team = new Map<string, Configured<Team>>();

  /** Revisions of removals by `kind/name`, so that a race with a removal is seen. */
  readonly removed = new Map<string, number>();

  /** Copies the maps; the objects in them are never changed in place. */
  copy(): Configuration {
    const copy = new Configuration();
    (['dataCentre', 'host', 'pool', 'service', 'team'] as const).forEach((kind) => {
      const target = copy[kind] as Map<string, unknown>;
      this[kind].forEach((entry, name) => target.set(name, entry));
    });
    return copy;
  }

  /** Finds the revision at which an object last changed or was removed; 0 if it never existed. */
  findRevision(kind: ObjectKind, name: string): number {
    const entry: Configured<unknown> | undefined = this[kind].get(name);
    return entry?.revision ?? this.removed.get(`${kind}/${name}`) ?? 0;
  }

  /** Carries out one operation at a revision. */
  apply(operation: Operation, revision: number): void {
    if (operation.action === 'remove') {
      this[operation.kind].delete(operation.name);
      this.removed.set(`${operation.kind}/${operation.name}`, revision);
      return;
    }
    const objects = this[operation.kind] as Map<string, Configured<unknown>>;
    objects.set(operation.object.name, { object: operation.object, revision });
    this.removed.delete(`${operation.kind}/${operation.object.name}`);
  }
}
