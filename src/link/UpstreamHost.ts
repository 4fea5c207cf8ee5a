/** An upstream host as a gateway sees it. */
export interface UpstreamHost {
  host: string;
  address: string;
  /** Share of the host's slots that this gateway may use. */
  slots: number;
  /** Share of the host's connections that this gateway may use. */
  connections: number;
}
