import type { OrganisationConfig, ResourceCap } from '../port/mod.js';

/** A customer whose callers share API keys, a rate and a cap, as one configuration describes it. */
export class Organisation {
  readonly name: string;

  /** Jobs a second that are owed to it, and its weight when pools are full. */
  readonly jobsPerS: number;

  /** Limit of the resources that it may have in use; 0 is no limit. */
  readonly cap: ResourceCap;

  readonly #apiKeys: ReadonlySet<string>;

  constructor({ name, apiKeys, jobsPerS, cap }: OrganisationConfig) {
    this.name = name;
    this.jobsPerS = jobsPerS;
    this.cap = cap;
    this.#apiKeys = new Set(apiKeys);
  }

  /** API keys that its callers send; never logged. */
  get apiKeys(): ReadonlySet<string> {
    return this.#apiKeys;
  }
}
