/** Validation message for a ticket whose `against` is not lower than its own `number`. */
export const BASE_PROBLEM = 'must be lower than number';
