import { CallAuthorizer } from '../organisation/mod.js';
import type { QueueConfig } from '../port/mod.js';
import { CallAccess, type CallValidity } from './CallAccess.js';
import type { CallResponse } from './CallResponse.js';
import type { NodeContext } from './NodeContext.js';
import type { OperatorState } from './OperatorFollower.js';
import { RetryAdvisor } from './RetryAdvisor.js';

/** Reason of refusals while the API keys of the configuration may be outdated. */
const OUTDATED_REASON = 'the API keys known to this node may be outdated';

/** A call before it is authorized. */
export interface GatedCall {
  queue: QueueConfig;
  /** API key that the call carries. */
  key: string | undefined;
  /** Subject of log lines: the identifier of the job or the rest of the path. */
  subject: string;
}

/**
 * Lets the calls through that the configuration and its proof permit, and logs and counts those that
 * are refused. Without organisations it lets every call through and logs nothing.
 */
export class CallGate {
  readonly #context: NodeContext;

  readonly #authorizer: CallAuthorizer;

  readonly #retryAdvisor = new RetryAdvisor(Math.random);

  constructor(context: NodeContext) {
    this.#context = context;
    this.#authorizer = new CallAuthorizer(context.settings.revocationLimitMs);
  }

  get organisations(): CallAuthorizer['organisations'] {
    return this.#authorizer.organisations;
  }

  /** Checks whether new callers with keys may be sent to this node. */
  get isReady(): boolean {
    this.#reportProof();
    return this.#authorizer.isReady(this.#context.clock.read());
  }

  /** Checks whether the configuration is known to be the newest. */
  get isCurrent(): boolean {
    return this.#authorizer.isCurrent(this.#context.clock.read());
  }

  setOperatorState({ configuration, provenAt }: OperatorState): void {
    // The proof applies to the configuration that was read with it.
    if (configuration !== undefined) this.#authorizer.setConfiguration(configuration);
    this.#authorizer.setProof(provenAt);
    if (this.isCurrent) this.#retryAdvisor.recordStored();
    this.#reportProof();
  }

  /** Authorizes a call; returns the response if it is refused. */
  authorize(call: GatedCall): CallAccess | CallResponse {
    const decision = this.#checkCall(call);
    if (!('organisation' in decision)) return decision;
    const { organisation } = decision;
    return new CallAccess(organisation, () => this.#checkAgain(call, organisation));
  }

  /**
   * Serves a call if it is authorized, and logs and counts its response.
   *
   * A refusal says that the call never runs. `isOpen` tells whether an earlier write of the same call
   * may still be executed, whoever sent it; a refused call is then answered as unknown.
   */
  async serve(
    call: GatedCall,
    run: (access: CallAccess) => Promise<CallResponse>,
    isOpen: () => Promise<boolean> = () => Promise.resolve(false),
  ): Promise<CallResponse> {
    const access = this.authorize(call);
    const isAuthorized = access instanceof CallAccess;
    const response = isAuthorized ? await run(access) : access;
    const isRefused = ['refused', 'over-limit', 'bad-request'].includes(response.type);
    if (isRefused && (await isOpen())) return this.report(call, { type: 'unknown' });
    return this.report(call, response, isAuthorized ? access.organisation : undefined);
  }

  /** Logs a refused call and counts the call for its organisation; returns the response. */
  report(call: GatedCall, response: CallResponse, organisation?: string): CallResponse {
    // A call with an unknown outcome is neither refused nor accepted.
    if (!this.#authorizer.hasOrganisations || response.type === 'unknown') return response;
    const cause = CallGate.#findCause(response);
    const prefix = organisation === undefined ? 'calls' : `organisation.${organisation}`;
    this.#context.metrics.increase(
      `${prefix}.${cause === undefined ? 'accepted' : `refused.${cause}`}`,
    );
    if (cause === undefined) return response;
    this.#context.log.record('call-refused', call.subject, {
      cause,
      queue: call.queue.name,
      organisation,
      hasKey: call.key !== undefined,
      ...('retryAfterMs' in response ? { retryAfterMs: Math.ceil(response.retryAfterMs) } : {}),
    });
    return response;
  }

  #checkCall({
    queue,
    key,
  }: GatedCall): (CallValidity & { organisation: string | undefined }) | CallResponse {
    this.#reportProof();
    const { isPublic } = queue;
    const decision = this.#authorizer.authorize({ isPublic, key }, this.#context.clock.read());
    if (decision.type === 'granted') {
      return { organisation: decision.organisation, validMs: decision.validMs };
    }
    return decision.type === 'outdated' ? this.#refuseOutdated() : { type: 'unauthorized' };
  }

  /** Decides again on a call that had access for an organisation. */
  #checkAgain(call: GatedCall, organisation: string | undefined): CallValidity | CallResponse {
    const decision = this.#checkCall(call);
    if (!('organisation' in decision)) return decision;
    // The key has been passed to another organisation, or the queue has become public.
    return decision.organisation === organisation ? decision : this.#refuseOutdated();
  }

  #refuseOutdated(): CallResponse {
    const now = this.#context.clock.readMonotonic();
    this.#retryAdvisor.recordRefusal(now);
    const retryAfterMs = this.#retryAdvisor.computeRetryAfter(now);
    return { type: 'refused', reason: OUTDATED_REASON, retryAfterMs };
  }

  /** Logs once that the proof of the keys has expired, and that it is valid again. */
  #reportProof(): void {
    const now = this.#context.clock.read();
    const change = this.#authorizer.takeProofChange(now);
    if (change === undefined) return;
    this.#context.log.record(`key-proof-${change}`, this.#context.settings.name, {
      limitMs: this.#context.settings.revocationLimitMs,
    });
  }

  /** Finds the cause of a refusal; undefined for all other responses. */
  static #findCause(response: CallResponse): string | undefined {
    switch (response.type) {
      case 'unauthorized':
      case 'forbidden':
      case 'over-limit':
        return response.type;
      case 'refused':
        return response.reason === OUTDATED_REASON ? 'outdated-keys' : 'unavailable';
      default:
        return undefined;
    }
  }
}
