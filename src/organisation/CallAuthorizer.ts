import type { TimeReading } from '../clock/mod.js';
import type { Configuration } from '../port/mod.js';
import { KeyProof } from './KeyProof.js';
import { OrganisationTable } from './OrganisationTable.js';

/** A call as far as its authorization depends on it. */
export interface KeyedCall {
  /** The queue of the call needs no key. */
  isPublic: boolean;
  /** API key that the call carries. */
  key: string | undefined;
}

/** Decision whether a call may be answered. */
export type Authorization =
  /** The call may be answered for `validMs`; `organisation` is undefined if it needs no key. */
  | { type: 'granted'; organisation: string | undefined; validMs: number }
  /** The current configuration does not contain the key, or the call has none. */
  | { type: 'unknown-key' | 'no-key' }
  /** The configuration may not be the newest: the key may have been removed or just added. */
  | { type: 'outdated' };

/**
 * Decides which calls may be answered, and for which organisation, from the configuration and its
 * proof.
 *
 * @example
 * ```ts
 * const authorizer = new CallAuthorizer(5_000);
 * authorizer.setConfiguration(configuration);
 * authorizer.setProof(sentAt);
 * authorizer.authorize({ isPublic: false, key: 'k-5c0e' }, clock.read());
 * // { type: 'granted', organisation: 'acme', validMs: 4900 }
 * ```
 */
export class CallAuthorizer {
  readonly #proof: KeyProof;

  #configuration: Configuration | undefined;

  /** Undefined before the first configuration and in deployments without organisations. */
  #table: OrganisationTable | undefined;

  /** Result of the last check for the beginning or end of the validity of the proof. */
  #wasValid: boolean | undefined;

  /** @param revocationLimitMs See `KeyProof`. */
  constructor(revocationLimitMs: number | undefined) {
    this.#proof = new KeyProof(revocationLimitMs);
  }

  /** The deployment has organisations, so that calls need keys. */
  get hasOrganisations(): boolean {
    return this.#table !== undefined;
  }

  get organisations(): OrganisationTable | undefined {
    return this.#table;
  }

  setConfiguration(configuration: Configuration): void {
    if (configuration === this.#configuration) return;
    this.#configuration = configuration;
    const { organisations } = configuration;
    this.#table = organisations === undefined ? undefined : new OrganisationTable(organisations);
  }

  /** Sets the time at which the configuration is known to have been the newest. */
  setProof(provenAt: TimeReading | undefined): void {
    this.#proof.set(provenAt);
  }

  /** Checks whether the configuration is known to be the newest, so that other keys are unknown. */
  isCurrent(now: TimeReading): boolean {
    return this.#proof.isCurrent(now);
  }

  /** Decides whether a call may be answered now. */
  authorize({ isPublic, key }: KeyedCall, now: TimeReading): Authorization {
    if (this.#configuration === undefined) return { type: 'outdated' };
    if (this.#table === undefined || isPublic) {
      return { type: 'granted', organisation: undefined, validMs: Infinity };
    }
    const organisation = key === undefined ? undefined : this.#table.findByKey(key);
    if (organisation !== undefined) {
      const validMs = this.#proof.computeValidity(now);
      if (validMs <= 0) return { type: 'outdated' };
      return { type: 'granted', organisation: organisation.name, validMs };
    }
    if (!this.#proof.isCurrent(now)) return { type: 'outdated' };
    return { type: key === undefined ? 'no-key' : 'unknown-key' };
  }

  /** Checks whether new callers with keys may be sent to this node; true if no queue needs keys. */
  isReady(now: TimeReading): boolean {
    const needsKeys =
      this.#table !== undefined && this.#configuration?.queues.some(({ isPublic }) => !isPublic);
    return needsKeys !== true || this.#proof.isReady(now);
  }

  /** Returns whether the proof has expired or has become valid again since the last call. */
  takeProofChange(now: TimeReading): 'expired' | 'valid' | undefined {
    if (this.#table === undefined) return undefined;
    const isValid = this.#proof.isValid(now);
    if (isValid === this.#wasValid) return undefined;
    const isFirst = this.#wasValid === undefined;
    this.#wasValid = isValid;
    if (isValid) return isFirst ? undefined : 'valid';
    return 'expired';
  }
}
