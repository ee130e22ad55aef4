/** Problem of a ticket that is written against itself or a later one. */
export const BASE_PROBLEM = 'must be lower than number';
