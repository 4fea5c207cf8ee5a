import type { Finding, Place } from '../finding/mod.js';
import { checkCapacity } from './_checkCapacity.js';
import { checkQuotas, checkServiceCoverage } from './_checkCoverage.js';
import { checkPools } from './_checkPools.js';
import { checkPathPrefixes } from './_checkServices.js';
import { checkSettings } from './_checkSettings.js';
import { checkUnique } from './_checkUnique.js';
import { FLEET_LISTS } from './FleetDocument.js';
import type { LoadedDocument } from './LoadedDocument.js';
import { listLocatedObjects, type LocatedObject } from './LocatedObject.js';

const ITEM_LABELS = {
  dataCentres: 'data centre',
  hosts: 'host',
  pools: 'pool',
  services: 'service',
  teams: 'team',
} as const;

function checkReferences<T, Field extends keyof T & string>(
  objects: readonly LocatedObject<T>[],
  field: Field,
  reference: { label: string; targets: readonly LocatedObject<{ name: string }>[] | undefined },
): Finding[] {
  // A list that no file contains is left unchanged in the fleet, and the controller checks
  // references to it.
  if (reference.targets === undefined) return [];
  const names = new Set(reference.targets.map(({ object }) => object.name));
  return objects
    .filter(({ object }) => !names.has(object[field] as string))
    .map(({ object, locate }) => ({
      severity: 'error',
      message: `unknown ${reference.label} "${object[field]}"`,
      place: locate(field),
    }));
}

function listObjects<T>(located: readonly LocatedObject<T>[] | undefined): T[] {
  return (located ?? []).map(({ object }) => object);
}

/** Checks rules against the inventory, if the documents contain one. */
function checkAgainstInventory(documents: readonly LoadedDocument[]): Finding[] {
  const located = listLocatedObjects(documents, 'hosts');
  if (located === undefined) return [];
  const hosts = listObjects(located);
  const pools = listLocatedObjects(documents, 'pools') ?? [];
  const services = listLocatedObjects(documents, 'services') ?? [];
  const dataCentres = listObjects(listLocatedObjects(documents, 'dataCentres'));
  return [
    ...checkCapacity(pools, { hosts, services: listObjects(services) }),
    ...checkServiceCoverage(services, { dataCentres, hosts, pools: listObjects(pools) }),
  ];
}

/** Compares places by file order, then by line and column. */
function comparePlaces(files: readonly string[], [a, b]: [Place, Place]): number {
  return (
    files.indexOf(a.file ?? '') - files.indexOf(b.file ?? '') ||
    (a.line ?? 0) - (b.line ?? 0) ||
    (a.column ?? 0) - (b.column ?? 0)
  );
}

/**
 * Checks documents against each other: references, duplicate names and addresses, path prefixes,
 * budgets and windows, and the capacity of the inventory. Each document must match its schema.
 *
 * @returns Findings, sorted by file order, line and column.
 * @example
 * ```ts
 * const { documents } = loadDocuments(['inventory.jsonc', 'rules.jsonc']);
 * checkDocuments(documents).map(formatFinding);
 * ```
 */
export function checkDocuments(documents: readonly LoadedDocument[]): Finding[] {
  const hosts = listLocatedObjects(documents, 'hosts');
  const pools = listLocatedObjects(documents, 'pools');
  const services = listLocatedObjects(documents, 'services') ?? [];
  const dataCentres = listLocatedObjects(documents, 'dataCentres');
  const names = FLEET_LISTS.flatMap((list) => {
    const located = listLocatedObjects(documents, list) as
      LocatedObject<{ name: string }>[] | undefined;
    const values = (located ?? []).map((one) => ({
      value: one.object.name,
      place: one.locate('name'),
    }));
    return checkUnique(ITEM_LABELS[list], values);
  });
  const addresses = (hosts ?? []).map((host) => ({
    value: host.object.address,
    place: host.locate('address'),
  }));
  const settings = documents.filter((one) => one.kind === 'settings');
  const findings = [
    ...names,
    ...checkUnique('the address', addresses),
    ...checkReferences(hosts ?? [], 'dataCentre', { label: 'data centre', targets: dataCentres }),
    ...checkReferences(services, 'pool', { label: 'pool', targets: pools }),
    ...checkPools(pools ?? []),
    ...checkPathPrefixes(services),
    ...checkQuotas(listLocatedObjects(documents, 'teams') ?? []),
    ...checkAgainstInventory(documents),
    ...checkSettings(settings),
  ];
  const files = documents.map(({ source }) => source.file);
  return findings.sort((a, b) => comparePlaces(files, [a.place, b.place]));
}
