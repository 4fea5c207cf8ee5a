/** The service `casting-fr` of the site `lande-prod`: 8 workers of 64 cores and 128 GB. */
export const CASTING_FR = {
  name: 'casting-fr',
  workers: 8,
  capacity: { cpu: 64_000, memMb: 131_072, gpu: 0 },
};

/** The site with that service only: 6 machines of the system in 4 zones. */
export const LANDE_PROD = {
  pools: [CASTING_FR],
  nodes: 6,
  zones: ['bzh-a', 'bzh-b', 'bzh-c', 'bzh-d'],
};
