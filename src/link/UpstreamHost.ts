/** An upstream host, with the shares of it that belong to one gateway. */
export interface UpstreamHost {
  host: string;
  address: string;
  /** Share of the host's slots that this gateway may use. */
  slots: number;
  /** Share of the host's connections that this gateway may use. */
  connections: number;
}
