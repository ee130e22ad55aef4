/** Reply of an entry node to a submitted ticket. */
export interface TicketReply {
  readonly status: number;
  readonly body: unknown;
}
