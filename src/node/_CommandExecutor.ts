import type {
  MaintainCommand,
  ManagedHost,
  MoveCommand,
  ReportResult,
  Shard,
  ShardCommand,
} from '../schedule/mod.js';
import { OrderUnsentError } from '../port/mod.js';
import { AdviceQueue } from './AdviceQueue.js';
import type { HostLink } from './HostLink.js';
import type { NodeContext } from './NodeContext.js';

/** Maximum number of machine orders under way; the others wait where they can be withdrawn. */
const MAX_MACHINE_ORDERS = 4;
/** Delay in ms before publishing the state of a wave is retried. */
const PUBLISH_RETRY_DELAY_MS = 600;

/** Command that starts a run. */
export type StartCommand = Extract<ShardCommand, { type: 'start' }>;

/** Command that asks for advice. */
type AskAdviceCommand = Extract<ShardCommand, { type: 'ask-advice' }>;

/** Command for a machine. */
export type MachineCommand = MoveCommand | MaintainCommand;

/** Options of a `CommandExecutor`. */
export interface CommandExecutorOptions {
  token: number;
  /** Finds the link to a host; undefined if its incarnation has ended. */
  findLink: (host: ManagedHost) => HostLink | undefined;
  /** Checks, immediately before an order for a machine is sent, whether it may still be sent. */
  canOrderMachine: (command: MachineCommand) => boolean;
  /** Checks, before a request for advice is sent, whether it is still of use. */
  isAdviceWanted: (step: string) => boolean;
  /** Enqueues the outcome of a command in the owner's mailbox, which applies it to the shard. */
  applyOutcome: (apply: (shard: Shard) => ReportResult) => void;
}

/** Executes the commands of a shard and reports their outcomes. */
export class CommandExecutor {
  readonly #context: NodeContext;

  readonly #options: CommandExecutorOptions;

  /** Last state of each wave that was published or is being published. */
  readonly #waveStates = new Map<number, 'running' | 'completed'>();

  /** Machine orders that have not been sent yet. */
  readonly #machineOrders: MachineCommand[] = [];

  #machineOrdersUnderWay = 0;

  readonly #advice: AdviceQueue;

  #isClosed = false;

  constructor(context: NodeContext, options: CommandExecutorOptions) {
    this.#context = context;
    this.#options = options;
    this.#advice = new AdviceQueue(context.advice, options.isAdviceWanted);
  }

  run(command: ShardCommand): void {
    switch (command.type) {
      case 'start':
        this.#startRun(command);
        break;
      case 'stop': {
        const { host, task, number } = command;
        const order = { task, run: number, token: this.#options.token };
        this.#options.findLink(host)?.send({
          type: 'order',
          send: (target) => this.#context.hosts.stopRun(target, order),
          reply: (outcome) =>
            this.#options.applyOutcome((shard) =>
              shard.reportStop(host, { task, number }, outcome),
            ),
        });
        break;
      }
      case 'pace': {
        const { run, percent } = command;
        const order = { task: run.task, run: run.number, token: this.#options.token, percent };
        this.#options.findLink(run.host)?.send({
          type: 'order',
          send: (target) => this.#context.hosts.paceRun(target, order),
          reply: (outcome) =>
            this.#options.applyOutcome((shard) => shard.reportPace(run, percent, outcome)),
        });
        break;
      }
      case 'check-health': {
        const { host, path } = command;
        this.#options.findLink(host)?.send({
          type: 'check-health',
          path,
          reply: (isWell) =>
            this.#options.applyOutcome((shard) => {
              shard.reportHealth(host, isWell);
              return 'ok';
            }),
        });
        break;
      }
      case 'move':
      case 'maintain':
        this.#machineOrders.push(command);
        this.#sendMachineOrders();
        break;
      case 'publish-wave':
        this.#publishWave(command.wave, command.state);
        break;
      default:
        this.#askAdvice(command);
    }
  }

  /** Stops retrying to publish wave states, and sends no further machine orders and requests. */
  close(): void {
    this.#advice.close();
    this.#isClosed = true;
  }

  /**
   * Sends machine orders as others have been answered. An order that waited in a connection pool
   * would go out even after the owner has been suspended and replaced, and not every platform
   * rejects the orders of an earlier owner.
   */
  #sendMachineOrders(): void {
    while (this.#machineOrdersUnderWay < MAX_MACHINE_ORDERS && !this.#isClosed) {
      const command = this.#machineOrders.shift();
      if (command === undefined) return;
      if (this.#options.canOrderMachine(command)) this.#sendMachineCommand(command);
      else {
        const answer = { type: 'refused', reason: 'the order is no longer valid' } as const;
        this.#options.applyOutcome((shard) => shard.reportMachineResponse(command, answer));
      }
    }
  }

  #startRun({ run, leaseEndMs, checkpoint, ticket }: StartCommand): void {
    const order = {
      task: run.task,
      run: run.number,
      payload: run.unit.step.occurrence.job.tracked.spec.payload,
      leaseEndMs,
      token: this.#options.token,
      checkpoint,
      ...(ticket === undefined ? {} : { ticket }),
    };
    this.#context.log.record('start', run.task, {
      run: run.number,
      host: run.host.id,
      token: this.#options.token,
      waitedMs: Math.round(run.orderedAt - run.unit.readySince),
      hostAgeMs: Math.round(run.orderedAt - run.host.answeredAt),
    });
    this.#options.findLink(run.host)?.send({
      type: 'order',
      send: (target) => this.#context.hosts.startRun(target, order),
      reply: (outcome) => {
        this.#context.metrics.recordLatency(
          'start',
          this.#context.clock.readMonotonic() - run.orderedAt,
        );
        this.#options.applyOutcome((shard) => shard.reportStart(run, outcome));
      },
    });
  }

  #sendMachineCommand(command: MachineCommand): void {
    const { machine } = command;
    const order = { machine, holder: this.#context.settings.name, token: this.#options.token };
    const { machines } = this.#context;
    this.#machineOrdersUnderWay += 1;
    const answered =
      command.type === 'move'
        ? machines.moveMachine(order, command.pool)
        : machines.maintainMachine(order, command.wave);
    answered
      .then(
        (answer) =>
          this.#options.applyOutcome((shard) => shard.reportMachineResponse(command, answer)),
        (error: unknown) => {
          this.#context.log.record('machine-unanswered', machine, { error: String(error) });
          const answer =
            error instanceof OrderUnsentError
              ? ({ type: 'refused', reason: 'the order was not sent' } as const)
              : ({ type: 'unanswered' } as const);
          this.#options.applyOutcome((shard) => shard.reportMachineResponse(command, answer));
        },
      )
      .finally(() => {
        this.#machineOrdersUnderWay -= 1;
        this.#sendMachineOrders();
      });
  }

  #askAdvice({ step, hostIds, expectedMs }: AskAdviceCommand): void {
    this.#advice.ask({ step, hostIds, expectedMs }).then(
      (advice) =>
        this.#options.applyOutcome((shard) => {
          shard.reportAdvice(step, advice);
          return 'ok';
        }),
      (error: unknown) => {
        this.#context.log.record('advice-failed', step, { expectedMs, error: String(error) });
        this.#options.applyOutcome((shard) => {
          shard.reportAdvice(step, undefined);
          return 'ok';
        });
      },
    );
  }

  #publishWave(wave: number, state: 'running' | 'completed'): void {
    this.#waveStates.set(wave, state);
    this.#context.store.publishWave(wave, state).then(
      (answer) => {
        this.#context.log.record('wave-published', String(wave), { state, answer: answer.type });
        if (answer.type !== 'appended') this.#retryPublish(wave, state);
      },
      (error: unknown) => {
        this.#context.log.record('wave-published', String(wave), { state, error: String(error) });
        this.#retryPublish(wave, state);
      },
    );
  }

  #retryPublish(wave: number, state: 'running' | 'completed'): void {
    setTimeout(() => {
      // A retry must not overwrite a newer state with an older one.
      const isLatest = this.#waveStates.get(wave) === state;
      if (!this.#isClosed && isLatest) this.#publishWave(wave, state);
    }, PUBLISH_RETRY_DELAY_MS);
  }
}
