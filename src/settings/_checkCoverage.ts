import type { DataCentre } from '../dataCentre/mod.js';
import type { Finding } from '../finding/mod.js';
import { hasResources, type Host } from '../host/mod.js';
import type { Pool } from '../pool/mod.js';
import type { Service } from '../service/mod.js';
import type { Team } from '../team/mod.js';
import type { LocatedObject } from './LocatedObject.js';

/** Fleet objects that services are checked against. */
export interface CoverageContext {
  dataCentres: readonly DataCentre[];
  hosts: readonly Host[];
  pools: readonly Pool[];
}

function explainGap({ hosts, dataCentres }: CoverageContext, pool: Pool): string | undefined {
  const matchingHosts = hosts.filter((host) => hasResources(host, pool.requires));
  const covered = new Set(matchingHosts.map(({ dataCentre }) => dataCentre));
  const gaps = dataCentres.filter(({ name }) => !covered.has(name)).map(({ name }) => name);
  if (gaps.length > 0) return `pool "${pool.name}" can have no host in ${gaps.join(', ')}`;
  const size = pool.need + pool.headroom;
  if (size >= dataCentres.length) return undefined;
  return `pool "${pool.name}" has ${size} hosts for ${dataCentres.length} data centres`;
}

/** Warns about data centres without hosts for a service: gateways use only hosts of their own. */
export function checkServiceCoverage(
  services: readonly LocatedObject<Service>[],
  context: CoverageContext,
): Finding[] {
  return services.flatMap(({ object, locate }): Finding[] => {
    const pool = context.pools.find(({ name }) => name === object.pool);
    const gap = pool && explainGap(context, pool);
    if (gap === undefined) return [];
    const message = `${gap}; gateways without a host in their data centre refuse "${object.name}"`;
    return [{ severity: 'warning', message, place: locate('pool') }];
  });
}

/** Warns about teams without an explicit quota. */
export function checkQuotas(teams: readonly LocatedObject<Team>[]): Finding[] {
  return teams
    .filter((team) => !team.has('quota'))
    .map(({ object, locate }) => ({
      severity: 'warning',
      message: `team "${object.name}" has no quota; its weight is ${object.quota}`,
      place: locate(),
    }));
}
