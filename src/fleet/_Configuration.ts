import type { Finding } from '../finding/mod.js';
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

  /** Checks that references between the objects resolve and that no rule contradicts itself. */
  check(): Finding[] {
    const findings: Finding[] = [];
    const add = (path: string, message: string): void => {
      findings.push({ severity: 'error', message, place: { path } });
    };
    this.host.forEach(({ object }, name) => {
      if (!this.dataCentre.has(object.dataCentre)) {
        add(`hosts.${name}.dataCentre`, `unknown data centre "${object.dataCentre}"`);
      }
    });
    this.service.forEach(({ object }, name) => {
      if (!this.pool.has(object.pool))
        add(`services.${name}.pool`, `unknown pool "${object.pool}"`);
    });
    this.pool.forEach(({ object }, name) => {
      if (object.availabilityBudget > object.need + object.headroom) {
        const size = object.need + object.headroom;
        add(
          `pools.${name}.availabilityBudget`,
          `${object.availabilityBudget} is above need + headroom = ${size}`,
        );
      }
    });
    return findings;
  }
}
