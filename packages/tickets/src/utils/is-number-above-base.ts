interface Numbers {
  readonly number: number;
  readonly against: number;
}

/** True when a ticket's number is above that of the ticket it was written against. */
export function isNumberAboveBase({ number, against }: Numbers): boolean {
  return against < number;
}
