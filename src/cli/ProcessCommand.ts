import type { FleetEvent } from '../timeline/mod.js';
import { collectObservations, ProcessTimeline, type Observation } from '../observation/mod.js';
import { Command, type CommandCall, type CommandOption } from './Command.js';

/** A command that asks the processes of the open sessions. */
export abstract class ProcessCommand extends Command {
  override readonly options: readonly CommandOption[] = [
    {
      name: 'process',
      summary: 'Peer or API address of a further process; may be given several times',
    },
  ];

  /** Lists the peer addresses of the open sessions, of the controllers and of `--process`. */
  protected static async listAddresses(call: CommandCall): Promise<string[]> {
    const { controllers, output } = call;
    const named = [...Command.listValues(call, 'process')];
    try {
      const sessions = await controllers.query((client) => client.sessions.query());
      named.push(...sessions.map((session) => session.peerAddress));
    } catch (error) {
      output.report((error as Error).message);
    }
    return [...new Set([...controllers.addresses, ...named])];
  }

  /** Reports the processes that did not answer, and returns the answers of the others. */
  protected static reportMissing<T>(call: CommandCall, observations: Observation<T>[]): T[] {
    return observations.flatMap((one) => {
      if (one.value !== undefined) return [one.value];
      call.output.report(`no answer of ${one.address}: ${'error' in one ? one.error : ''}`);
      return [];
    });
  }

  /** Collects the time lines of all processes. */
  protected static async collectTimelines(call: CommandCall): Promise<FleetEvent[][]> {
    const addresses = await ProcessCommand.listAddresses(call);
    const what = { path: 'timeline', schema: ProcessTimeline } as const;
    const answers = await collectObservations(addresses, what);
    return ProcessCommand.reportMissing(call, answers).map((answer) => answer.events);
  }
}
