import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client';
import { fetchJson } from '../net/mod.js';
import type { ControllerRouter } from './ControllerRouter.js';

/** Typed tRPC client of a controller. */
export type ControllerClient = TRPCClient<ControllerRouter>;

/**
 * Creates a client for a controller.
 *
 * @param address Address of the controller's API as `IP:port`.
 * @example
 * ```ts
 * const summary = await createControllerClient('127.0.0.1:7100').fleet.query();
 * ```
 */
export function createControllerClient(address: string): ControllerClient {
  return createTRPCClient<ControllerRouter>({
    links: [httpLink({ url: `http://${address}`, fetch: fetchJson })],
  });
}
