import type { Finding, Place } from '../finding/mod.js';
import { checkCapacity } from './_checkCapacity.js';
import { checkQuotas, checkServiceCoverage } from './_checkCoverage.js';
import { checkPools } from './_checkPools.js';
import { checkPrefixes } from './_checkServices.js';
import { checkSettings } from './_checkSettings.js';
import { checkUnique } from './_checkUnique.js';
import { FLEET_LISTS } from './FleetDocument.js';
import type { LoadedDocument } from './LoadedDocument.js';
import { listLocated, type LocatedObject } from './LocatedObject.js';

const KIND_NAMES = {
  dataCentres: 'data centre',
  hosts: 'host',
  pools: 'pool',
  services: 'service',
  teams: 'team',
} as const;

function checkReferences<T, Field extends keyof T & string>(
  objects: readonly LocatedObject<T>[],
  field: Field,
  known: { what: string; targets: readonly LocatedObject<{ name: string }>[] | undefined },
): Finding[] {
  // A list that no file has stays as it is in the fleet; the controller checks against it.
  if (known.targets === undefined) return [];
  const names = new Set(known.targets.map(({ object }) => object.name));
  return objects
    .filter(({ object }) => !names.has(object[field] as string))
    .map(({ object, locate }) => ({
      severity: 'error',
      message: `unknown ${known.what} "${object[field]}"`,
      place: locate(field),
    }));
}

function listObjects<T>(located: readonly LocatedObject<T>[] | undefined): T[] {
  return (located ?? []).map(({ object }) => object);
}

/** Checks rules against the inventory; without one the rules are checked when it is there. */
function checkAgainstInventory(documents: readonly LoadedDocument[]): Finding[] {
  const located = listLocated(documents, 'hosts');
  if (located === undefined) return [];
  const hosts = listObjects(located);
  const pools = listLocated(documents, 'pools') ?? [];
  const services = listLocated(documents, 'services') ?? [];
  const dataCentres = listObjects(listLocated(documents, 'dataCentres'));
  return [
    ...checkCapacity(pools, { hosts, services: listObjects(services) }),
    ...checkServiceCoverage(services, { dataCentres, hosts, pools: listObjects(pools) }),
  ];
}

/** Compares by the order of the files, then by line and column. */
function comparePlaces(files: readonly string[], [a, b]: [Place, Place]): number {
  return (
    files.indexOf(a.file ?? '') - files.indexOf(b.file ?? '') ||
    (a.line ?? 0) - (b.line ?? 0) ||
    (a.column ?? 0) - (b.column ?? 0)
  );
}

/**
 * Checks documents against each other: references, duplicate names and addresses, path prefixes,
 * budgets and windows, and what the inventory cannot provide. Each document has been checked against its schema before.
 *
 * @returns Findings in the order of the files, lines and columns.
 * @example
 * ```ts
 * const { documents } = loadDocuments(['inventory.jsonc', 'rules.jsonc']);
 * checkDocuments(documents).map(formatFinding);
 * ```
 */
export function checkDocuments(documents: readonly LoadedDocument[]): Finding[] {
  const hosts = listLocated(documents, 'hosts');
  const pools = listLocated(documents, 'pools');
  const services = listLocated(documents, 'services') ?? [];
  const dataCentres = listLocated(documents, 'dataCentres');
  const names = FLEET_LISTS.flatMap((list) => {
    const located = listLocated(documents, list) as LocatedObject<{ name: string }>[] | undefined;
    const values = (located ?? []).map((one) => ({
      value: one.object.name,
      place: one.locate('name'),
    }));
    return checkUnique(KIND_NAMES[list], values);
  });
  const addresses = (hosts ?? []).map((host) => ({
    value: host.object.address,
    place: host.locate('address'),
  }));
  const settings = documents.filter((one) => one.kind === 'settings');
  const findings = [
    ...names,
    ...checkUnique('the address', addresses),
    ...checkReferences(hosts ?? [], 'dataCentre', { what: 'data centre', targets: dataCentres }),
    ...checkReferences(services, 'pool', { what: 'pool', targets: pools }),
    ...checkPools(pools ?? []),
    ...checkPrefixes(services),
    ...checkQuotas(listLocated(documents, 'teams') ?? []),
    ...checkAgainstInventory(documents),
    ...checkSettings(settings),
  ];
  const files = documents.map(({ source }) => source.file);
  return findings.sort((a, b) => comparePlaces(files, [a.place, b.place]));
}
