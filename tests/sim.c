/* sim */
typedef int sim_placeholder;
