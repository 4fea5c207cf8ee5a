import { isDeepStrictEqual } from 'node:util';
import type { FleetSnapshot } from './FleetSnapshot.js';
import type { ObjectKind, Operation } from '../record/mod.js';
import type { FleetDocument } from '../settings/mod.js';

interface NamedObject {
  name: string;
}

function compareObjects(
  kind: ObjectKind,
  wanted: readonly NamedObject[] | undefined,
  current: readonly { object: NamedObject }[],
): Operation[] {
  if (wanted === undefined) return [];
  const now = new Map(current.map(({ object }) => [object.name, object]));
  const names = new Set(wanted.map((object) => object.name));
  const puts = wanted
    .filter((object) => !isDeepStrictEqual(object, now.get(object.name)))
    .map((object) => ({ action: 'put', kind, object }) as Operation);
  const removes = [...now.keys()]
    .filter((name) => !names.has(name))
    .map((name): Operation => ({ action: 'remove', kind, name }));
  return [...puts, ...removes];
}

/**
 * Compares a document with the current state and returns the operations that apply the document.
 *
 * @example
 * ```ts
 * compareDocument({ pools: [] }, fleet.snapshot()); // removes every pool
 * ```
 */
export function compareDocument(document: FleetDocument, current: FleetSnapshot): Operation[] {
  return [
    ...compareObjects('dataCentre', document.dataCentres, current.dataCentres),
    ...compareObjects('host', document.hosts, current.hosts),
    ...compareObjects('pool', document.pools, current.pools),
    ...compareObjects('service', document.services, current.services),
    ...compareObjects('team', document.teams, current.teams),
  ];
}
