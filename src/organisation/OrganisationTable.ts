import type { OrganisationConfig } from '../port/mod.js';
import { Organisation } from './Organisation.js';

/**
 * The organisations of one configuration, by name and by API key.
 *
 * A key that several organisations list belongs to the first of them, on every node.
 *
 * @example
 * ```ts
 * const table = new OrganisationTable(configuration.organisations ?? []);
 * table.findByKey('k-5c0e')?.name; // 'acme'
 * ```
 */
export class OrganisationTable {
  readonly #byName = new Map<string, Organisation>();

  readonly #byKey = new Map<string, Organisation>();

  constructor(organisations: readonly OrganisationConfig[]) {
    organisations.forEach((config) => {
      const organisation = new Organisation(config);
      this.#byName.set(organisation.name, organisation);
      organisation.apiKeys.forEach((key) => {
        if (!this.#byKey.has(key)) this.#byKey.set(key, organisation);
      });
    });
  }

  get organisations(): IterableIterator<Organisation> {
    return this.#byName.values();
  }

  /** Finds an organisation by its name. */
  findByName(name: string): Organisation | undefined {
    return this.#byName.get(name);
  }

  /** Finds the organisation to which an API key belongs. */
  findByKey(key: string): Organisation | undefined {
    return this.#byKey.get(key);
  }
}
