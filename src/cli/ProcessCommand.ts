import type { FleetEvent } from '../timeline/mod.js';
import { collectObservations, ProcessTimeline, type Observation } from '../observation/mod.js';
import { Command, type CommandContext, type CommandOption } from './Command.js';

/** A command that queries all processes with an open session. */
export abstract class ProcessCommand extends Command {
  override readonly options: readonly CommandOption[] = [
    {
      name: 'process',
      summary: 'Peer or API address of an additional process; can be repeated',
    },
  ];

  /**
   * Lists the addresses of the controllers, of `--process` and of all open sessions. If the
   * sessions cannot be read, the error is printed and they are left out.
   */
  protected static async listAddresses(context: CommandContext): Promise<string[]> {
    const { controllers, output } = context;
    const addresses = [...Command.listValues(context, 'process')];
    try {
      const sessions = await controllers.query((client) => client.sessions.query());
      addresses.push(...sessions.map((session) => session.peerAddress));
    } catch (error) {
      output.report((error as Error).message);
    }
    return [...new Set([...controllers.addresses, ...addresses])];
  }

  /** Prints the processes that did not answer and returns the values of the others. */
  protected static reportUnreachable<T>(
    context: CommandContext,
    observations: Observation<T>[],
  ): T[] {
    return observations.flatMap((one) => {
      if (one.value !== undefined) return [one.value];
      context.output.report(`no answer from ${one.address}: ${'error' in one ? one.error : ''}`);
      return [];
    });
  }

  /** Collects the timelines of all processes that answer. */
  protected static async collectTimelines(context: CommandContext): Promise<FleetEvent[][]> {
    const addresses = await ProcessCommand.listAddresses(context);
    const endpoint = { path: 'timeline', schema: ProcessTimeline } as const;
    const answers = await collectObservations(addresses, endpoint);
    return ProcessCommand.reportUnreachable(context, answers).map((answer) => answer.events);
  }
}
