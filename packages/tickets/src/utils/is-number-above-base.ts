interface Numbers {
  readonly number: number;
  readonly against: number;
}

/** True if a ticket's number is higher than that of the ticket it is based on. */
export function isNumberAboveBase({ number, against }: Numbers): boolean {
  return against < number;
}
