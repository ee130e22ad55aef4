/** Answer of an entry node to a ticket. */
export interface TicketReply {
  readonly status: number;
  readonly body: unknown;
}
